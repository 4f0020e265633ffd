package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What is known of the end of one start of a backend server, from all gateways. Not thread-safe.
 */
final class BackendCrash {
    /** Requests that are remembered; a crash under more is judged by these. */
    private static final int MAXIMUM_BROKEN = 128;

    private final BackendStart start;
    private final List<BrokenStart> broken = new ArrayList<>();
    private final Set<Long> requests = new HashSet<>();
    private final long brokenNanos;
    private boolean ended;

    /**
     * Creates the record of a start that may have ended.
     *
     * @param brokenNanos time at which the first connection ended
     */
    BackendCrash(BackendStart start, long brokenNanos) {
        this.start = start;
        this.brokenNanos = brokenNanos;
    }

    BackendStart start() {
        return start;
    }

    /** Returns the time at which the first connection ended. */
    long brokenNanos() {
        return brokenNanos;
    }

    /** Returns whether the start is known to have ended under requests. */
    boolean isCrash() {
        return ended && !broken.isEmpty();
    }

    List<BrokenStart> broken() {
        return broken;
    }

    /** Remembers a request; returns whether it was new. */
    boolean add(BrokenStart added) {
        return broken.size() < MAXIMUM_BROKEN && requests.add(added.request()) && broken.add(added);
    }

    /** Records that the start has ended; returns whether that was new. */
    boolean end() {
        final boolean isNew = !ended;
        ended = true;
        return isNew;
    }

    /** Returns the verdicts that explain the crash, since a request under them was there. */
    Set<TraitVerdict> explainedBy(VerdictIndex verdicts) {
        final Set<TraitVerdict> explaining = new HashSet<>();
        broken.forEach(
                request -> explaining.addAll(verdicts.on(request.model(), request.traits())));
        return explaining;
    }
}
