package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.crocushaven.observability.GuardedTask;

/**
 * Polls for a new leader while none is known, so that an elected instance starts its work at once.
 *
 * <p>Does not run while there is a leader. Used on one event loop only.
 */
final class ElectionWatch {
    /** Time between two polls; an election takes twenty times as long. */
    private static final long POLL_MILLIS = 20;

    private final EventLoop loop;
    private final BooleanSupplier settled;
    private final Runnable poll;
    private boolean polling;

    /**
     * Creates a watch that is not running.
     *
     * @param settled whether a leader is known and, if it is this instance, has started
     * @param poll starts to lead if that is possible
     */
    ElectionWatch(EventLoop loop, BooleanSupplier settled, Runnable poll) {
        this.loop = loop;
        this.settled = settled;
        this.poll = poll;
    }

    /** Starts polling, unless a leader is known. */
    void check() {
        if (!polling && !settled.getAsBoolean()) {
            polling = true;
            schedule();
        }
    }

    private void schedule() {
        loop.schedule(this::pollOnce, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void pollOnce() {
        GuardedTask.of(poll).run();
        if (settled.getAsBoolean()) {
            polling = false;
        } else {
            schedule();
        }
    }
}
