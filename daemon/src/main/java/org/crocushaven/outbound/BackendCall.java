package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends a short request to a backend server, such as a command to an engine, and collects the
 * complete answer.
 */
public final class BackendCall implements BackendAnswerListener {
    private static final int MAXIMUM_ANSWER_BYTES = 4 << 20;

    /** Each call has an identifier of its own, so that none is sent twice. */
    private static final String UNNAMED = "";

    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final String target;
    private final Function<HttpResponse, AnsweredRequest> named;
    private final AnswerMemory.Share memory;
    private final ByteBuf body = Unpooled.buffer();
    private BackendChannel channel;
    private int status;

    private BackendCall(
            String target,
            AnswerMemory.Share memory,
            Function<HttpResponse, AnsweredRequest> named) {
        this.target = target;
        this.memory = memory;
        this.named = named;
    }

    /**
     * Sends the request. The future fails with {@code BACKEND_SERVER_FAILED} or {@code
     * BACKEND_SERVER_TIMEOUT}, which state whether the request may have reached the backend server.
     *
     * @param named returns which request an answer names by its head
     */
    public static CompletableFuture<Answer> send(
            BackendPool pool,
            EventLoop loop,
            InetSocketAddress address,
            FullHttpRequest request,
            long timeoutMillis,
            Function<HttpResponse, AnsweredRequest> named) {
        final BackendCall call =
                new BackendCall(
                        address.toString(), pool.answerMemory().share(MAXIMUM_ANSWER_BYTES), named);
        final ScheduledFuture<?> timer =
                loop.schedule(
                        () -> call.timeOut(timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
        pool.acquire(address, UNNAMED, true)
                .whenComplete(
                        (opened, failure) -> {
                            if (failure != null) {
                                request.release();
                                call.answer.completeExceptionally(failure);
                            } else if (call.answer.isDone()) {
                                request.release();
                                opened.close();
                            } else {
                                call.channel = opened;
                                opened.send(UNNAMED, request, call);
                            }
                        });
        call.answer.whenComplete(
                (ignored, failure) -> {
                    timer.cancel(false);
                    call.memory.release();
                });
        return call.answer;
    }

    @Override
    public AnsweredRequest answeredRequest(HttpResponse head) {
        return named.apply(head);
    }

    /** Engines need not name calls, whose answers are checked by the sequence of orders. */
    @Override
    public boolean allowsReuseUnnamed() {
        return true;
    }

    @Override
    public void head(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void content(ByteBuf data) {
        if (!answer.isDone() && !memory.tryResize(body.readableBytes() + data.readableBytes())) {
            channel.abort();
            failed(true, "answer too large");
        } else {
            body.writeBytes(data);
        }
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete() {
        final byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        answer.complete(new Answer(status, bytes));
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        answer.completeExceptionally(
                ResultException.of(ResultCode.BACKEND_SERVER_FAILED, target, reason));
    }

    private void timeOut(long timeoutMillis) {
        if (channel != null) {
            channel.abort();
        }
        answer.completeExceptionally(ResultException.of(ResultCode.BACKEND_SERVER_TIMEOUT, target));
    }

    /**
     * Contains a complete answer.
     *
     * @param status HTTP status
     * @param body body as received
     */
    public record Answer(int status, byte[] body) {}
}
