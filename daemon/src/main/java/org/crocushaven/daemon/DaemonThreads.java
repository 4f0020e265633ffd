package org.crocushaven.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Holds the event loops and the timers of a daemon.
 *
 * <p>Connections of callers and to backend servers have separate event loops, so that a burst of
 * requests cannot delay heartbeats and announcements.
 */
final class DaemonThreads {
    private static final int REQUEST_LOOPS = 4;
    private static final int CONTROL_LOOPS = 2;
    private static final int TIMER_THREADS = 2;

    private final EventLoopGroup requestLoops =
            new MultiThreadIoEventLoopGroup(REQUEST_LOOPS, NioIoHandler.newFactory());
    private final EventLoopGroup controlLoops =
            new MultiThreadIoEventLoopGroup(CONTROL_LOOPS, NioIoHandler.newFactory());
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);

    /** Returns the event loops of connections of callers and to backend servers. */
    EventLoopGroup requestLoops() {
        return requestLoops;
    }

    /** Returns the event loops of connections of instances, announcements and operators. */
    EventLoopGroup controlLoops() {
        return controlLoops;
    }

    /** Returns the executor of periodic and delayed tasks. */
    ScheduledExecutorService timers() {
        return timers;
    }

    /** Ends the timers and drops the tasks that have not started. */
    void stopTimers() {
        timers.shutdownNow();
    }

    /** Ends the event loops; returns when they have ended. */
    void stopEventLoops() {
        controlLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        requestLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
