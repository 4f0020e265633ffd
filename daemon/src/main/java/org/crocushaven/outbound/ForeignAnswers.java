package org.crocushaven.outbound;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the answers to other requests that are skipped on a connection before the one to its own
 * request: in number, in bytes, and each in time.
 */
final class ForeignAnswers {
    private static final int MAXIMUM_NUMBER = 16;
    private static final long MAXIMUM_MILLIS = 2_000;

    private final EventLoop loop;
    private final Runnable tooLong;
    private ScheduledFuture<?> timer;
    private int number;
    private long bytes;

    /**
     * Creates the bounds of one request.
     *
     * @param tooLong is called when an answer has not ended in time
     */
    ForeignAnswers(EventLoop loop, Runnable tooLong) {
        this.loop = loop;
        this.tooLong = tooLong;
    }

    /** Counts an answer that begins; returns false if there are too many. */
    boolean tryBegin() {
        number++;
        timer = loop.schedule(tooLong, MAXIMUM_MILLIS, TimeUnit.MILLISECONDS);
        return number <= MAXIMUM_NUMBER;
    }

    /** Counts bytes; returns false if there are too many. */
    boolean tryAdd(long more) {
        bytes += more;
        return bytes <= AnswerMemory.MAXIMUM_ANSWER_BYTES;
    }

    /** Called when the answer has ended or its connection is closed. */
    void end() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
