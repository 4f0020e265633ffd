package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Looks often while nobody leads, so that a new leader begins its work as soon as it may.
 *
 * <p>Costs nothing while there is a leader. Used on one event loop only.
 */
final class ElectionWatch {
    /** Time between two looks; an election takes twenty times as long. */
    private static final long LOOK_MILLIS = 20;

    private final EventLoop loop;
    private final BooleanSupplier settled;
    private final Runnable look;
    private boolean running;

    /**
     * Creates a watch that is not running.
     *
     * @param settled whether a leader is known and, if it is this instance, has begun
     * @param look begins to lead when that is possible
     */
    ElectionWatch(EventLoop loop, BooleanSupplier settled, Runnable look) {
        this.loop = loop;
        this.settled = settled;
        this.look = look;
    }

    /** Starts to look, unless a leader is there. */
    void check() {
        if (!running && !settled.getAsBoolean()) {
            running = true;
            schedule();
        }
    }

    private void schedule() {
        loop.schedule(this::lookAgain, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void lookAgain() {
        look.run();
        if (settled.getAsBoolean()) {
            running = false;
        } else {
            schedule();
        }
    }
}
