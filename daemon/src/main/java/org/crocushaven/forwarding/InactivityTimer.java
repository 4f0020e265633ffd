package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Notifies a listener when a backend server has been silent for longer than a limit, and again
 * while it stays silent.
 */
final class InactivityTimer {
    /** Lateness above which the event loop was busy rather than the timer imprecise. */
    private static final long LATE_MILLIS = 50;

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
        final long silentMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - progressNanos);
        if (silentMillis < limitMillis) {
            schedule(limitMillis - silentMillis);
        } else {
            reportLateness();
            schedule(REPEAT_MILLIS);
            onSilence.accept(silentMillis);
        }
    }

    /** Reports a check that ran late, which means that the event loop read nothing meanwhile. */
    private void reportLateness() {
        final long lateMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - dueNanos);
        if (lateMillis >= LATE_MILLIS) {
            EventLine.of("silence-timer-late").with("late_ms", lateMillis).info();
        }
    }

    private void schedule(long delayMillis) {
        final long delay = Math.max(1, delayMillis);
        dueNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
        timer = loop.schedule(this::check, delay, TimeUnit.MILLISECONDS);
    }
}
