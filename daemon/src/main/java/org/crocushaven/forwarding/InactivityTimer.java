package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;

/** Notifies a listener when a backend server has been silent for longer than a limit. */
final class InactivityTimer {
    private final EventLoop loop;
    private final NanoClock clock;
    private final LongConsumer onSilence;
    private ScheduledFuture<?> timer;
    private long limitMillis;
    private long progressNanos;

    /**
     * Creates a watch that is not running.
     *
     * @param onSilence receives the duration of the silence in milliseconds
     */
    InactivityTimer(EventLoop loop, NanoClock clock, LongConsumer onSilence) {
        this.loop = loop;
        this.clock = clock;
        this.onSilence = onSilence;
    }

    /** Starts watching from now on with the given limit. */
    void start(long newLimitMillis) {
        stop();
        limitMillis = newLimitMillis;
        progressNanos = clock.nanoTime();
        schedule(limitMillis);
    }

    /** Records that data arrived and sets the limit for the next silence. */
    void recordProgress(long newLimitMillis) {
        limitMillis = newLimitMillis;
        progressNanos = clock.nanoTime();
    }

    /** Stops watching. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void check() {
        final long silentMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - progressNanos);
        if (silentMillis < limitMillis) {
            schedule(limitMillis - silentMillis);
        } else {
            progressNanos = clock.nanoTime();
            schedule(limitMillis);
            onSilence.accept(silentMillis);
        }
    }

    private void schedule(long delayMillis) {
        timer = loop.schedule(this::check, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }
}
