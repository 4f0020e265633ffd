package org.crocushaven.forwarding;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.agrona.concurrent.NanoClock;

/** Tracks when bytes last arrived on a connection and how long a request has been incomplete. */
final class ArrivalMeter extends ChannelInboundHandlerAdapter {
    private final NanoClock clock;
    private long lastNanos;
    private long unfinishedSinceNanos;
    private boolean unfinished;

    ArrivalMeter(NanoClock clock) {
        this.clock = clock;
        this.lastNanos = clock.nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastNanos = clock.nanoTime();
        if (!unfinished) {
            unfinished = true;
            unfinishedSinceNanos = lastNanos;
        }
        context.fireChannelRead(message);
    }

    /** Records that no partially received request is left. */
    void settled() {
        unfinished = false;
    }

    /** Resets the idle time of a connection that is in use although no bytes arrive. */
    void touch() {
        lastNanos = clock.nanoTime();
    }

    /** Returns for how long a request has been incomplete, in nanoseconds; 0 when none is. */
    long unfinishedNanos(long nowNanos) {
        return unfinished ? nowNanos - unfinishedSinceNanos : 0;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - lastNanos;
    }
}
