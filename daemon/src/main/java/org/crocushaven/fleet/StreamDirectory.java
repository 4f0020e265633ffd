package org.crocushaven.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.observability.EventLine;

/**
 * Knows for the leader of a term where the streams of all gateways began, so that a client can take
 * up a stream at another gateway when the first one is lost. Not thread-safe.
 */
public final class StreamDirectory {
    /** Time for which a stream may last while no configuration is known. */
    private static final long DEFAULT_LONGEST_STREAM_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Far longer than from one pass over the backend servers to the next, also without streams. */
    private static final long MINIMUM_VERSION_SPAN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Streams in one generation: 20 s of the 18,000 streams a second at the two-year target. */
    private static final int CAPACITY = 400_000;

    private final StreamOrigins origins = StreamOrigins.ofCapacity(CAPACITY);
    private final SoftwareVersionLog versions;
    private long longestStreamNanos = DEFAULT_LONGEST_STREAM_NANOS;

    private StreamDirectory(SoftwareVersionLog versions) {
        this.versions = versions;
    }

    /** Returns the directory of a term. */
    public static StreamDirectory of(SoftwareVersionLog versions) {
        return new StreamDirectory(versions);
    }

    /**
     * Records that the leader has not heard announcements for a while. Streams that were reported
     * before stay known.
     */
    void restartHistory(long nowNanos) {
        versions.restart(nowNanos);
    }

    /** Sets the time for which a stream may last. */
    public void setLongestStreamMillis(long millis) {
        longestStreamNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Records the software version that a backend server announces. */
    public void observe(BackendAnnouncement announcement, long nowNanos) {
        if (!announcement.isDeregistration()) {
            versions.observe(versionOf(announcement), nowNanos);
        }
    }

    /**
     * Returns whether every later leader will know that streams may have begun at the software
     * version of a backend server; gateways must not use it before.
     */
    public boolean mayServe(BackendAnnouncement announcement) {
        return versions.isCommitted(versionOf(announcement));
    }

    /** Forgets the software versions at which no stream can be under way any more. */
    public void tick(long nowNanos) {
        versions.tick(nowNanos, Math.max(longestStreamNanos, MINIMUM_VERSION_SPAN_NANOS));
    }

    private static StreamOrigin versionOf(BackendAnnouncement announcement) {
        return new StreamOrigin(announcement.service(), announcement.softwareVersion());
    }

    /** Remembers the streams that a gateway reports. */
    public void add(List<BegunStreams> reported, long nowNanos) {
        for (final BegunStreams begun : reported) {
            for (final long stream : begun.streams()) {
                origins.add(stream, begun.origin(), nowNanos, longestStreamNanos);
            }
        }
    }

    /**
     * Returns where a stream began; empty if it is not remembered and its service may have had more
     * than one software version while the stream can have lasted.
     */
    public Optional<StreamOrigin> find(StreamOriginQuery query) {
        return origins.find(query.stream()).or(() -> onlyVersion(query));
    }

    private Optional<StreamOrigin> onlyVersion(StreamOriginQuery query) {
        final Optional<StreamOrigin> only = versions.only(query.service());
        only.ifPresent(
                origin ->
                        EventLine.of("stream-placed-at-only-version")
                                .with("service", query.service())
                                .with("software", origin.softwareVersion())
                                .with("named", query.stream() != StreamIdentifier.NONE)
                                .info());
        return only;
    }
}
