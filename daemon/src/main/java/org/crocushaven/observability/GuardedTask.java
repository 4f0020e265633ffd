package org.crocushaven.observability;

/**
 * Wraps a periodic task so that an exception in one run is logged and later runs still take place.
 *
 * <p>A scheduled executor stops repeating a task that throws.
 */
public final class GuardedTask implements Runnable {
    private final Runnable task;

    private GuardedTask(Runnable task) {
        this.task = task;
    }

    /** Returns a task that runs the given one and logs its runtime exceptions. */
    public static GuardedTask of(Runnable task) {
        return new GuardedTask(task);
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
        }
    }
}
