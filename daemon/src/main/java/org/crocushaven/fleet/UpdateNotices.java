package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/**
 * Sends notices of updates with a minimum interval.
 *
 * <p>Each notice makes every gateway report at once, so that changes in quick succession would keep
 * the leader from its heartbeats. Used on one event loop only.
 */
final class UpdateNotices {
    /** Small beside the seconds within which a change must be in force. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final NanoClock clock;
    private final Runnable sender;
    private long sentNanos;
    private boolean scheduled;

    /**
     * Creates notices of which the first is sent at once.
     *
     * @param sender sends a notice to all gateways, if this instance leads
     */
    UpdateNotices(EventLoop loop, NanoClock clock, Runnable sender) {
        this.loop = loop;
        this.clock = clock;
        this.sender = sender;
        this.sentNanos = clock.nanoTime() - INTERVAL_NANOS;
    }

    /** Sends a notice now, or once the interval since the last one has passed. */
    void request() {
        if (scheduled) {
            return;
        }
        final long delayNanos = sentNanos + INTERVAL_NANOS - clock.nanoTime();
        if (delayNanos <= 0) {
            send();
        } else {
            scheduled = true;
            loop.schedule(this::send, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void send() {
        scheduled = false;
        sentNanos = clock.nanoTime();
        sender.run();
    }
}
