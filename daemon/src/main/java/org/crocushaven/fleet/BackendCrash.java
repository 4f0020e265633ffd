package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What is known of the end of one start of a backend server, from all gateways.
 *
 * <p>A gateway that is cut off sees every address refuse. So what one gateway says is doubted until
 * the others have tried the address too: if one of them reaches it, there was no crash. A later
 * start at the address needs no further witness. Not thread-safe.
 */
final class BackendCrash {
    /** Requests that are remembered; a crash under more is judged by these. */
    private static final int MAXIMUM_BROKEN = 128;

    /** Time after which a gateway that has not tried the address is not waited for. */
    private static final long WITNESS_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final BackendStart start;
    private final List<BrokenStart> broken = new ArrayList<>();
    private final Set<Long> requests = new HashSet<>();
    private final Set<String> witnesses = new HashSet<>();
    private final long brokenNanos;
    private long doubtedNanos;
    private boolean doubted;
    private boolean followed;
    private boolean reached;

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

    /** Returns whether the start has ended under requests, as far as is known. */
    boolean isCrash() {
        return hasEnded() && !broken.isEmpty();
    }

    /** Returns whether the start has ended, as far as is known. */
    boolean hasEnded() {
        return followed || !witnesses.isEmpty() && !reached;
    }

    List<BrokenStart> broken() {
        return broken;
    }

    /** Remembers a request; returns whether it was new. */
    boolean add(BrokenStart added) {
        return broken.size() < MAXIMUM_BROKEN && requests.add(added.request()) && broken.add(added);
    }

    /** Records that an address refused a gateway; returns whether that was new. */
    boolean endSeen(String gateway) {
        return witnesses.add(gateway);
    }

    /** Records that a gateway reached the start, or heard from it, after the break. */
    void standsYet() {
        reached = true;
    }

    /** Records that a later start came; returns whether that was new. */
    boolean follow() {
        final boolean isNew = !followed;
        followed = true;
        return isNew;
    }

    /** Asks all gateways to try the address; returns whether there is anything to ask. */
    boolean doubt(long nowNanos) {
        if (!doubted) {
            doubted = true;
            doubtedNanos = nowNanos;
        }
        return !followed && !reached;
    }

    /** Returns whether the end needs no further witness. */
    boolean isConfirmed(Collection<String> gateways, long nowNanos) {
        return followed
                || witnesses.containsAll(gateways)
                || doubted && nowNanos - doubtedNanos >= WITNESS_NANOS;
    }

    /** Returns the verdicts that explain the crash, since a request under them was there. */
    Set<TraitVerdict> explainedBy(VerdictIndex verdicts) {
        final Set<TraitVerdict> explaining = new HashSet<>();
        broken.forEach(
                request -> explaining.addAll(verdicts.on(request.model(), request.traits())));
        return explaining;
    }
}
