package org.crocushaven.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.crocushaven.fleet.BackendRecord;

/**
 * Keeps gateways from sending brittle backend servers more than they have room for: one that has to
 * turn too many requests away within a second ends.
 *
 * <p>What is free there is divided among the gateways anew with each of their views of its load; a
 * rest smaller than one request goes to each with its probability. A gateway whose request was
 * turned away waits for its part of the rejections that the backend server bears. Not thread-safe.
 */
final class BrittleBackends {
    /** Number of backend servers that are remembered; the earliest is forgotten first. */
    private static final int MAXIMUM_BACKENDS = 10_000;

    /** Part of the slots that stays free for what is on its way from other gateways. */
    private static final double RESERVE = 0.125;

    /** Age from which on a view of the load is taken for a new one, as reports come that often. */
    private static final long VIEW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Part of the rejections that a backend server bears which gateways use together. */
    private static final double USED_REJECTIONS = 0.5;

    private static final double LONGEST_WAIT_SECONDS = 10;

    private final RandomGenerator random;
    private final Map<String, Entry> entries =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                    return size() > MAXIMUM_BACKENDS;
                }
            };

    private int gateways = 1;
    private long view;

    BrittleBackends(RandomGenerator random) {
        this.random = random;
    }

    /** Records that the leader told anew of the load, and of the number of gateways. */
    void viewChanged(int gatewayCount) {
        gateways = Math.max(1, gatewayCount);
        view++;
    }

    /**
     * Records what an answer says.
     *
     * @param answering the backend server at the start to which the answered request was sent
     * @param bears rejections within a second that it bears; empty if it is not brittle
     * @param sentNanos time at which the request was sent
     * @return whether this changes what is known
     */
    boolean recordAnswer(
            BackendRecord answering, OptionalDouble bears, long sentNanos, long nowNanos) {
        final Entry known = entries.get(answering.backend());
        final boolean isKnown = known != null && known.startedMillis == answering.startedMillis();
        if (bears.isEmpty()) {
            return isKnown
                    && sentNanos - known.saidNanos > 0
                    && entries.remove(answering.backend()) != null;
        }
        if (isKnown && known.bears == bears.getAsDouble()) {
            known.saidNanos = nowNanos;
            return false;
        }
        if (known != null && known.startedMillis > answering.startedMillis()) {
            return false;
        }
        entries.put(
                answering.backend(),
                new Entry(answering.startedMillis(), bears.getAsDouble(), nowNanos));
        return true;
    }

    /** Records that a backend server turned a request away, if it is brittle. */
    void recordRejection(BackendRecord backend, long nowNanos) {
        final Entry entry = entryOf(backend);
        if (entry != null) {
            final double seconds =
                    gateways / Math.max(Double.MIN_NORMAL, entry.bears * USED_REJECTIONS);
            entry.waitUntilNanos =
                    nowNanos
                            + (long)
                                    (Math.min(LONGEST_WAIT_SECONDS, seconds)
                                            * TimeUnit.SECONDS.toNanos(1));
            entry.isWaiting = true;
        }
    }

    /**
     * Returns whether a request may be sent to a backend server.
     *
     * @param requestsThere requests in flight there, of all gateways
     */
    boolean allows(BackendRecord backend, int requestsThere, long nowNanos) {
        final Entry entry = entryOf(backend);
        return entry == null || entry.allowed(backend, requestsThere, nowNanos) > 0;
    }

    /** Counts a request that is sent now; returns whether it may be. */
    boolean tryTake(BackendRecord backend, int requestsThere, long nowNanos) {
        final Entry entry = entryOf(backend);
        if (entry == null) {
            return true;
        }
        final boolean isAllowed = entry.allowed(backend, requestsThere, nowNanos) > 0;
        entry.left -= isAllowed ? 1 : 0;
        return isAllowed;
    }

    private Entry entryOf(BackendRecord backend) {
        final Entry entry = entries.get(backend.backend());
        return entry != null && entry.startedMillis == backend.startedMillis() ? entry : null;
    }

    /** What one start of a backend server said last, and what may be sent there. */
    private final class Entry {
        private final long startedMillis;
        private final double bears;
        private long saidNanos;
        private boolean isWaiting;
        private long waitUntilNanos;
        private long dividedView = -1;
        private long dividedNanos;
        private int left;

        private Entry(long startedMillis, double bears, long nowNanos) {
            this.startedMillis = startedMillis;
            this.bears = bears;
            this.saidNanos = nowNanos;
        }

        private int allowed(BackendRecord backend, int requestsThere, long nowNanos) {
            if (isWaiting && nowNanos - waitUntilNanos < 0) {
                return 0;
            }
            isWaiting = false;
            if (dividedView != view || nowNanos - dividedNanos >= VIEW_NANOS) {
                dividedView = view;
                dividedNanos = nowNanos;
                left = divide(backend.requestSlots(), requestsThere);
            }
            return left;
        }

        private int divide(int slots, int requestsThere) {
            final double reserve = Math.max(1, slots * RESERVE);
            final double part = Math.max(0, slots - reserve - requestsThere) / gateways;
            final int whole = (int) part;
            return whole + (random.nextDouble() < part - whole ? 1 : 0);
        }
    }
}
