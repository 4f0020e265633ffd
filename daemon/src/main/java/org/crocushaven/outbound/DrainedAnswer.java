package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads the rest of an answer that nobody needs, so that its connection can be reused, and aborts
 * the connection when that takes too long.
 */
final class DrainedAnswer implements BackendAnswerListener {
    private static final long MAXIMUM_BYTES = 64 << 10;
    private static final long MAXIMUM_MILLIS = 1_000;

    private final BackendChannel channel;
    private final ScheduledFuture<?> timer;
    private long bytes;

    DrainedAnswer(BackendChannel channel) {
        this.channel = channel;
        this.timer =
                channel.eventLoop().schedule(channel::abort, MAXIMUM_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public AnsweredRequest answeredRequest(HttpResponse head) {
        return AnsweredRequest.OWN;
    }

    @Override
    public void head(HttpResponse head) {}

    @Override
    public void content(ByteBuf data) {
        bytes += data.readableBytes();
        if (bytes > MAXIMUM_BYTES) {
            timer.cancel(false);
            channel.abort();
        }
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete() {
        timer.cancel(false);
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        timer.cancel(false);
    }
}
