package org.crocushaven.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tells the source of an answer to pause while too many of its bytes are not yet written.
 *
 * <p>Thread-safe. The source should pause from the high-water mark on and may continue at the
 * low-water mark.
 */
final class AnswerBackpressure {
    static final long HIGH_WATER_BYTES = 64 << 10;
    private static final long LOW_WATER_BYTES = 16 << 10;

    private final AtomicLong pendingBytes = new AtomicLong();
    private final AtomicBoolean blocked = new AtomicBoolean();
    private volatile Runnable writableAction = () -> {};

    /** Sets the action that runs when the source may continue after a pause. */
    void onWritable(Runnable action) {
        writableAction = action;
    }

    /** Returns whether the source may pass on more bytes. */
    boolean isWritable() {
        return !blocked.get();
    }

    /** Records bytes that the source has passed on. */
    void add(int bytes) {
        if (pendingBytes.addAndGet(bytes) >= HIGH_WATER_BYTES) {
            blocked.set(true);
        }
    }

    /** Records that bytes were written or dropped; may run the action. */
    void release(int bytes) {
        if (pendingBytes.addAndGet(-bytes) <= LOW_WATER_BYTES
                && blocked.compareAndSet(true, false)) {
            writableAction.run();
        }
    }
}
