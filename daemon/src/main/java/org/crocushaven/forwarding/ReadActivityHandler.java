package org.crocushaven.forwarding;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.agrona.concurrent.NanoClock;

/** Tracks when bytes last arrived on a connection and how long a request has been incomplete. */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    private final NanoClock clock;
    private long lastReadNanos;
    private long incompleteSinceNanos;
    private boolean incomplete;

    ReadActivityHandler(NanoClock clock) {
        this.clock = clock;
        this.lastReadNanos = clock.nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastReadNanos = clock.nanoTime();
        if (!incomplete) {
            incomplete = true;
            incompleteSinceNanos = lastReadNanos;
        }
        context.fireChannelRead(message);
    }

    /** Records that no partially received request is left. */
    void requestCompleted() {
        incomplete = false;
    }

    /** Resets the idle time of a connection that is in use although no bytes arrive. */
    void resetIdleTime() {
        lastReadNanos = clock.nanoTime();
    }

    /** Returns for how long a request has been incomplete, in nanoseconds; 0 when none is. */
    long incompleteNanos(long nowNanos) {
        return incomplete ? nowNanos - incompleteSinceNanos : 0;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - lastReadNanos;
    }
}
