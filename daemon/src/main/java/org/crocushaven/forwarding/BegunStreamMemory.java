package org.crocushaven.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BegunStreams;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOrigins;

/**
 * Remembers where the streams of a gateway began and which of them its leader does not know yet. A
 * new leader is told of all that are remembered. Not thread-safe.
 */
final class BegunStreamMemory {
    /** Time for which a stream may last while no configuration is known. */
    private static final long DEFAULT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Maximum number of remembered streams. */
    private static final int CAPACITY = 32_768;

    /** Maximum number of streams in one report; the others follow in the next ones. */
    private static final int MAXIMUM_REPORTED = 8_192;

    private final StreamOrigins origins = StreamOrigins.ofCapacity(CAPACITY);
    private final Deque<Begun> inOrder = new ArrayDeque<>();
    private long retentionNanos = DEFAULT_RETENTION_NANOS;
    private long nextNumber = 1;

    /** Number of the last stream that the leader knows. */
    private long acknowledged;

    /** Number of the last stream in the last report. */
    private long reported;

    private long epoch;

    /** Sets the time for which a stream may last. */
    void setRetentionMillis(long millis) {
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Remembers that the first event of a stream has arrived. */
    void recordBegun(String requestId, StreamOrigin origin, long nowNanos) {
        final long stream = StreamIdentifier.of(requestId);
        origins.add(stream, origin, nowNanos, retentionNanos);
        inOrder.addLast(new Begun(nextNumber, stream, origin, nowNanos));
        nextNumber++;
        while (inOrder.size() > CAPACITY
                || nowNanos - inOrder.getFirst().begunNanos() > retentionNanos) {
            inOrder.removeFirst();
        }
    }

    /** Returns where the stream that a request began has its origin, if this gateway served it. */
    Optional<StreamOrigin> find(String requestId) {
        return origins.find(StreamIdentifier.of(requestId));
    }

    /** Returns the streams that the leader does not know yet, for a report. */
    List<BegunStreams> unreported() {
        final Map<StreamOrigin, List<Long>> byOrigin = new LinkedHashMap<>();
        reported = acknowledged;
        for (final Begun begun : unacknowledged()) {
            byOrigin.computeIfAbsent(begun.origin(), origin -> new ArrayList<>())
                    .add(begun.stream());
            reported = begun.number();
        }
        final List<BegunStreams> streams = new ArrayList<>(byOrigin.size());
        byOrigin.forEach((origin, begun) -> streams.add(new BegunStreams(origin, begun)));
        return streams;
    }

    /**
     * Records that a leader has received the last report. One that this gateway has not reported to
     * before knows no earlier streams, and is sent them all.
     */
    void reportAnswered(long leaderEpoch) {
        acknowledged = leaderEpoch == epoch ? reported : 0;
        epoch = leaderEpoch;
    }

    /** Returns the oldest streams that no report brought to the leader, at most one report's. */
    private Deque<Begun> unacknowledged() {
        final Deque<Begun> found = new ArrayDeque<>();
        final Iterator<Begun> newestFirst = inOrder.descendingIterator();
        while (newestFirst.hasNext()) {
            final Begun begun = newestFirst.next();
            if (begun.number() <= acknowledged) {
                break;
            }
            found.addFirst(begun);
            if (found.size() > MAXIMUM_REPORTED) {
                found.removeLast();
            }
        }
        return found;
    }

    private record Begun(long number, long stream, StreamOrigin origin, long begunNanos) {}
}
