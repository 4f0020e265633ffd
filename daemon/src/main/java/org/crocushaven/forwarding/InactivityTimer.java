package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Notifies a listener when a backend server has been silent for longer than a limit, and again
 * while it stays silent. Time in which the event loop was busy does not count, since bytes that
 * arrived meanwhile are not read yet.
 */
final class InactivityTimer {
    /** Lateness above which the event loop was busy rather than the timer imprecise. */
    private static final long LATE_MILLIS = 50;

    /** Time for the event loop to read the bytes that arrived while it was busy. */
    private static final long READ_MILLIS = 10;

    /** Time between two notifications of the same silence. */
    private static final long REPEAT_MILLIS = 400;

    private final EventLoop loop;
    private final NanoClock clock;
    private final LongConsumer onSilence;
    private ScheduledFuture<?> timer;
    private long limitMillis;
    private long progressNanos;
    private long dueNanos;

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
        final long nowNanos = clock.nanoTime();
        final long lateMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - dueNanos);
        if (lateMillis >= LATE_MILLIS) {
            EventLine.of("silence-timer-late").with("late_ms", lateMillis).info();
            progressNanos += TimeUnit.MILLISECONDS.toNanos(lateMillis);
            schedule(Math.max(READ_MILLIS, limitMillis - silentMillis(nowNanos)));
            return;
        }
        final long silentMillis = silentMillis(nowNanos);
        if (silentMillis < limitMillis) {
            schedule(limitMillis - silentMillis);
        } else {
            schedule(REPEAT_MILLIS);
            onSilence.accept(silentMillis);
        }
    }

    private long silentMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
    }

    private void schedule(long delayMillis) {
        final long delay = Math.max(1, delayMillis);
        dueNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
        timer = loop.schedule(this::check, delay, TimeUnit.MILLISECONDS);
    }
}
