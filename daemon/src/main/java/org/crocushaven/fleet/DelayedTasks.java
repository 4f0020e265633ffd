package org.crocushaven.fleet;

/** Runs tasks after a delay, on the event loop of their caller. */
@FunctionalInterface
interface DelayedTasks {
    /** Runs a task once the delay is over. */
    void runAfter(long delayMillis, Runnable task);
}
