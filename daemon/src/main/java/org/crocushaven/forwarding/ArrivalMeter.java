package org.crocushaven.forwarding;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.agrona.concurrent.NanoClock;

/** Notes when bytes arrive on a connection, before they are decoded. */
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

    /** Notes that all bytes so far belong to whole requests, or to none. */
    void settled() {
        unfinished = false;
    }

    /** Notes that the connection is in use though no bytes arrive. */
    void touch() {
        lastNanos = clock.nanoTime();
    }

    /** Returns since when a request has been arriving; the current time when none is. */
    long unfinishedNanos(long nowNanos) {
        return unfinished ? nowNanos - unfinishedSinceNanos : 0;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - lastNanos;
    }
}
