package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Commits for the leader of a term which software versions may be in use: one that it has heard of
 * before gateways may, and that it is in use no longer when no backend server has been known to
 * have it for the longest time a stream may last.
 *
 * <p>One command is proposed at a time. Used on one event loop only.
 */
public final class SoftwareVersionLog {
    private final FleetState state;
    private final long term;
    private final Function<FleetCommand, CompletableFuture<Void>> proposer;
    private final Map<StreamOrigin, Long> lastSeenNanos = new HashMap<>();
    private final Set<StreamOrigin> missing = new LinkedHashSet<>();
    private Set<StreamOrigin> removing = Set.of();
    private long sinceNanos;
    private boolean proposing;

    private SoftwareVersionLog(
            FleetState state,
            long term,
            Function<FleetCommand, CompletableFuture<Void>> proposer,
            long nowNanos) {
        this.state = state;
        this.term = term;
        this.proposer = proposer;
        this.sinceNanos = nowNanos;
    }

    /**
     * Returns the log of a term that begins now.
     *
     * @param proposer proposes a command; the future completes on the event loop once the command
     *     is applied to the state
     */
    public static SoftwareVersionLog startingAt(
            FleetState state,
            long term,
            Function<FleetCommand, CompletableFuture<Void>> proposer,
            long nowNanos) {
        final SoftwareVersionLog log = new SoftwareVersionLog(state, term, proposer, nowNanos);
        log.propose(state.softwareVersions().complete(), Set.of());
        return log;
    }

    /**
     * Records that the leader has not heard announcements for a while: from now on it counts anew
     * for how long it has known of no backend server with a version.
     */
    void restart(long nowNanos) {
        sinceNanos = nowNanos;
        lastSeenNanos.clear();
    }

    /** Records that a backend server has a software version, or had it until now. */
    void observe(StreamOrigin version, long nowNanos) {
        lastSeenNanos.put(version, nowNanos);
        if (!isCommitted(version)) {
            missing.add(version);
            proposeMissing();
        }
    }

    /** Returns whether gateways may use a backend server that has a software version. */
    boolean isCommitted(StreamOrigin version) {
        return !removing.contains(version) && state.softwareVersions().versions().contains(version);
    }

    /** Returns the only software version at which a stream of a service can be under way. */
    Optional<StreamOrigin> only(String service) {
        return state.softwareVersions().only(service);
    }

    /**
     * Commits which versions are in use no longer.
     *
     * @param longestStreamNanos longest time for which a stream may last
     */
    void tick(long nowNanos, long longestStreamNanos) {
        final SoftwareVersionsInUse known = state.softwareVersions();
        final Set<StreamOrigin> obsolete = new LinkedHashSet<>(known.versions());
        obsolete.removeIf(version -> !isObsolete(version, nowNanos, longestStreamNanos));
        final boolean isLongEnough = nowNanos - sinceNanos > longestStreamNanos;
        final boolean isComplete = known.complete() || isLongEnough;
        if (!proposing && (!obsolete.isEmpty() || isComplete && !known.complete())) {
            propose(isComplete, obsolete);
        }
        proposeMissing();
    }

    /**
     * A version that this leader has not heard of may have been used for a while by gateways that
     * had not heard of this leader, so that it counts for twice the time.
     */
    private boolean isObsolete(StreamOrigin version, long nowNanos, long longestStreamNanos) {
        final Long seenNanos = lastSeenNanos.get(version);
        return seenNanos == null
                ? nowNanos - sinceNanos > 2 * longestStreamNanos
                : nowNanos - seenNanos > longestStreamNanos;
    }

    private void proposeMissing() {
        missing.removeIf(this::isCommitted);
        if (!proposing && !missing.isEmpty()) {
            propose(state.softwareVersions().complete(), Set.of());
        }
    }

    private void propose(boolean complete, Set<StreamOrigin> obsolete) {
        final Set<StreamOrigin> versions = new LinkedHashSet<>(state.softwareVersions().versions());
        versions.removeAll(obsolete);
        versions.addAll(missing);
        proposing = true;
        removing = Set.copyOf(obsolete);
        lastSeenNanos.keySet().removeAll(removing);
        proposer.apply(
                        FleetCommand.softwareVersions(
                                new SoftwareVersionsInUse(term, complete, List.copyOf(versions))))
                .whenComplete(
                        (done, failure) -> {
                            proposing = false;
                            removing = Set.of();
                            if (failure == null) {
                                proposeMissing();
                            }
                        });
    }
}
