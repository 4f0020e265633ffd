package org.crocushaven.serving;

import java.time.Duration;

/** Runs a task after a delay. */
@FunctionalInterface
public interface Scheduler {
    /** Runs the task once, after at least the given delay. */
    void schedule(Runnable task, Duration delay);
}
