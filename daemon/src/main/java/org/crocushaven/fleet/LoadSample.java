package org.crocushaven.fleet;

/** What a load from the weight store showed of the store. Not thread-safe. */
final class LoadSample {
    private final long beginNanos;
    private int mostRunning;
    private long lateMillis;

    /** Creates the sample of a load that an engine has accepted. */
    LoadSample(long beginNanos) {
        this.beginNanos = beginNanos;
    }

    /** Returns the time at which the engine accepted it. */
    long beginNanos() {
        return beginNanos;
    }

    /** Records how many loads run, itself included. */
    void runsBeside(int running) {
        mostRunning = Math.max(mostRunning, running);
    }

    /** Returns the most loads that have run at once beside it, itself included. */
    int mostRunning() {
        return mostRunning;
    }

    /** Records that it has not ended after a time in which it should have. */
    void setLate(long runMillis) {
        lateMillis = runMillis;
    }

    /** Returns the longest time after which it had not ended; 0 if it was not late. */
    long lateMillis() {
        return lateMillis;
    }
}
