package org.crocushaven.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the writes to a caller's connection and detects a caller that does not read.
 *
 * <p>All methods except {@link #hasPendingWrites} are called on the connection's event loop.
 */
final class WriteProgress {
    private static final long COMPLETED_WRITE = AnswerBackpressure.HIGH_WATER_BYTES;

    private final Channel channel;
    private final long timeoutNanos;
    private volatile int pendingWrites;
    private long completedWriteProgress;
    private long lastProgress;
    private long lastProgressNanos;

    WriteProgress(Channel channel, long timeoutMillis) {
        this.channel = channel;
        this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    /** Returns whether bytes passed to the channel are not yet written to the socket. */
    boolean hasPendingWrites() {
        return pendingWrites > 0;
    }

    /** Records that a part of the answer is being written. */
    void start(long nowNanos) {
        if (pendingWrites == 0) {
            lastProgressNanos = nowNanos;
        }
        pendingWrites++;
    }

    /** Records that the last part of the answer is being written. */
    void startLast() {
        pendingWrites++;
    }

    /** Records that the write of a part of the answer has completed. */
    void complete() {
        pendingWrites--;
        // currentProgress() restarts with each write. Adding a constant for each completed write
        // makes isStalled() count the completion as progress.
        completedWriteProgress += COMPLETED_WRITE;
    }

    /** Records that the write of the last part of the answer has completed. */
    void completeLast() {
        pendingWrites--;
    }

    /**
     * Records the progress of pending writes and returns whether they have made none for the write
     * timeout.
     */
    boolean isStalled(long nowNanos) {
        if (pendingWrites == 0) {
            return false;
        }
        final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        final long progress =
                completedWriteProgress + (outbound == null ? 0 : outbound.currentProgress());
        if (progress != lastProgress) {
            lastProgress = progress;
            lastProgressNanos = nowNanos;
            return false;
        }
        return nowNanos - lastProgressNanos >= timeoutNanos;
    }
}
