package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tracks the loads from the weight store that are on their way, and when each is expected to end.
 *
 * <p>Answers a load of the store beyond its speed: a load begins only while there is room for it,
 * so that those that have begun take the usual time. A load takes up room from its order on, but
 * its time runs from the engine's acceptance: an order that is answered late says nothing of the
 * store. Not thread-safe.
 */
final class StoreLoads {
    /** Time after its expected end in which a load may still be found to be late. */
    private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time within which an order is answered or known not to be. Until then the load takes up room,
     * so that its request can turn to another engine; after that only once it is accepted.
     */
    private static final long ORDER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after which an order that was not answered is forgotten. */
    private static final long UNANSWERED_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final StoreEstimate estimate = new StoreEstimate();
    private final Map<LoadPlace, Load> loads = new HashMap<>();

    /** Sets how many engines share the store. */
    void setEngineCount(int engines) {
        estimate.setEngineCount(engines);
    }

    /** Returns whether another load may begin without slowing those that run. */
    boolean hasRoom(long nowNanos) {
        return running(nowNanos) < estimate.loads();
    }

    /** Returns whether running loads use at least half of the store. */
    boolean isBusy(long nowNanos) {
        return running(nowNanos) * 2 >= estimate.loads();
    }

    /** Returns the duration of a load at full speed, in milliseconds. */
    long usualMillis() {
        return estimate.usualMillis();
    }

    /** Returns the time in which the store serves a number of further loads, in milliseconds. */
    long millisFor(int furtherLoads) {
        return furtherLoads * usualMillis() / estimate.loads();
    }

    /** Records that a load is ordered. */
    void begin(String backend, AdapterKey key, long nowNanos) {
        loads.put(new LoadPlace(backend, key), new Load(nowNanos));
    }

    /**
     * Records that an engine has accepted the order of a load.
     *
     * @param isAwaited whether a request will find out if it is late
     */
    void accepted(String backend, AdapterKey key, boolean isAwaited, long nowNanos) {
        final Load accepted = loads.get(new LoadPlace(backend, key));
        if (accepted == null) {
            return;
        }
        accepted.accept(isAwaited, usualMillis(), nowNanos);
        final int running = count(load -> load.runs(nowNanos));
        loads.values().stream()
                .filter(Load::isAccepted)
                .forEach(load -> load.sample.runsBeside(running));
        if (!hasRoom(nowNanos)) {
            loads.values().forEach(load -> load.usesUp = true);
        }
    }

    /** Records that a load did not begin after all. */
    void end(String backend, AdapterKey key) {
        loads.remove(new LoadPlace(backend, key));
    }

    /** Forgets the loads of an engine that has ended. */
    void forget(String backend) {
        loads.keySet().removeIf(loaded -> loaded.backend().equals(backend));
    }

    /**
     * Records that an adapter was missing although its load should have ended, and expects all
     * running loads to take longer accordingly.
     *
     * @return the loads whose expected end has changed; empty if this load is not known
     */
    List<Extension> wasLate(String backend, AdapterKey key, long nowNanos) {
        forgetEnded(nowNanos);
        final Load late = loads.get(new LoadPlace(backend, key));
        if (late == null || !late.isAccepted() || late.endNanos - nowNanos > 0) {
            return List.of();
        }
        final long runMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - late.sample.beginNanos());
        late.sample.setLate(runMillis);
        // Those that should have ended just now may be late as well.
        final int running = count(Load::isAccepted);
        estimate.wasLate(late.sample, running, nowNanos);
        final double slowdown = estimate.slowdown(running);
        final long leftMillis =
                Math.max(
                        StoreEstimate.LOOK_AGAIN_MILLIS,
                        Math.round(usualMillis() * slowdown) - runMillis);
        late.endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(leftMillis);
        return extendOthers(late, slowdown, nowNanos);
    }

    private List<Extension> extendOthers(Load late, double slowdown, long nowNanos) {
        final List<Extension> extended = new ArrayList<>();
        loads.forEach(
                (loaded, load) -> {
                    if (!load.isAccepted()) {
                        return;
                    }
                    final long slowedEnd =
                            load.sample.beginNanos()
                                    + Math.round(
                                            slowdown
                                                    * TimeUnit.MILLISECONDS.toNanos(usualMillis()));
                    final boolean isSlower =
                            load.endNanos - nowNanos > 0 && slowedEnd - load.endNanos > 0;
                    if (isSlower) {
                        load.endNanos = slowedEnd;
                        load.extended = true;
                    }
                    if (isSlower || load == late) {
                        extended.add(new Extension(loaded.backend(), loaded.key(), load.endNanos));
                    }
                });
        return extended;
    }

    /** Returns how many loads run, as far as is known, and how many orders are on their way. */
    private int running(long nowNanos) {
        forgetEnded(nowNanos);
        return count(load -> load.runs(nowNanos) || load.isOrdered(nowNanos));
    }

    private int count(Predicate<Load> condition) {
        return (int) loads.values().stream().filter(condition).count();
    }

    /** Forgets loads that were not found to be late again, once that would have been found. */
    private void forgetEnded(long nowNanos) {
        for (final Iterator<Load> each = loads.values().iterator(); each.hasNext(); ) {
            final Load load = each.next();
            if (load.isOver(nowNanos)) {
                each.remove();
                judge(load, nowNanos);
            }
        }
    }

    /**
     * Passes on what a load showed of the store; one that nobody looked for in time showed nothing.
     */
    private void judge(Load load, long nowNanos) {
        if (load.wasLookedFor()) {
            estimate.ended(load.sample, load.usesUp, nowNanos);
        }
    }

    /**
     * A load that is expected to end later than before.
     *
     * @param backend engine that loads
     * @param key adapter that it loads
     * @param endNanos time at which it is expected to end
     */
    record Extension(String backend, AdapterKey key, long endNanos) {}

    private static final class Load {
        private final long orderedNanos;
        private LoadSample sample;
        private boolean isAwaited;
        private long endNanos;
        private boolean usesUp;
        private boolean extended;

        private Load(long orderedNanos) {
            this.orderedNanos = orderedNanos;
        }

        private void accept(boolean awaited, long usualMillis, long nowNanos) {
            sample = new LoadSample(nowNanos);
            isAwaited = awaited;
            endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(usualMillis);
        }

        private boolean isAccepted() {
            return sample != null;
        }

        /** Returns whether a request would have found it late, or has. */
        private boolean wasLookedFor() {
            return isAccepted() && isAwaited && (!extended || sample.lateMillis() > 0);
        }

        /** Returns whether it is expected to run. */
        private boolean runs(long nowNanos) {
            return isAccepted() && endNanos - nowNanos > 0;
        }

        /** Returns whether its order is on its way. */
        private boolean isOrdered(long nowNanos) {
            return !isAccepted() && nowNanos - orderedNanos < ORDER_NANOS;
        }

        private boolean isOver(long nowNanos) {
            return isAccepted()
                    ? nowNanos - endNanos >= SETTLING_NANOS
                    : nowNanos - orderedNanos >= UNANSWERED_NANOS;
        }
    }
}
