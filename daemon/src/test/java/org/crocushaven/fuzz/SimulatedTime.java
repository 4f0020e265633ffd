package org.crocushaven.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/** Runs actions at simulated times, in order. */
public final class SimulatedTime implements NanoClock, EpochClock {
    private static final long START_MILLIS = 1_800_000_000_000L;

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::nanos).thenComparingLong(Action::number));
    private long nanos;
    private long number;

    /** Runs an action after a delay. */
    public void after(long millis, Runnable step) {
        actions.add(new Action(nanos + TimeUnit.MILLISECONDS.toNanos(millis), number++, step));
    }

    /** Runs all actions until the given time has passed since the start. */
    public void runUntilMillis(long millis) {
        final long endNanos = TimeUnit.MILLISECONDS.toNanos(millis);
        while (!actions.isEmpty() && actions.peek().nanos() <= endNanos) {
            final Action next = actions.poll();
            nanos = next.nanos();
            next.step().run();
        }
        nanos = endNanos;
    }

    /** Returns the milliseconds since the start. */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public long time() {
        return START_MILLIS + millis();
    }

    private record Action(long nanos, long number, Runnable step) {}
}
