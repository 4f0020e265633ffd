package org.crocushaven.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.ForwardableHeaders;

/**
 * A request to a backend server, from the choice of a connection until the answer is complete.
 *
 * <p>Mutable fields that are not {@code volatile} are accessed only on the event loop of the
 * connection.
 */
final class BackendExchange implements BackendCall {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    private final BackendServer server;
    private final BackendRequest request;
    private final AnswerRule rule;
    private final BackendListener listener;
    private final BackendClientLimits limits;
    private final Runnable sendCancelOrder;
    private final UsageScanner usageScanner = new UsageScanner();

    private volatile BackendConnection connection;
    private volatile boolean cancelled;
    private volatile boolean finished;
    private ChannelFuture written;
    private ScheduledFuture<?> firstByteTimer;
    private ScheduledFuture<?> totalTimer;
    private HttpResponse head;
    private ByteArrayOutputStream bufferedBody;
    private boolean selfDelimiting;

    BackendExchange(
            BackendServer server,
            BackendRequest request,
            AnswerRule rule,
            BackendListener listener,
            BackendClientLimits limits,
            Runnable sendCancelOrder) {
        this.server = server;
        this.request = request;
        this.rule = rule;
        this.listener = listener;
        this.limits = limits;
        this.sendCancelOrder = sendCancelOrder;
    }

    @Override
    public void cancel() {
        cancelled = true;
        final BackendConnection current = connection;
        if (current != null) {
            execute(current, this::cancelOnEventLoop);
        }
    }

    @Override
    public void setReading(boolean reading) {
        final BackendConnection current = connection;
        if (current != null) {
            execute(
                    current,
                    () -> {
                        if (!finished) {
                            current.channel().config().setAutoRead(reading);
                        }
                    });
        }
    }

    /**
     * Returns whether this is a HEAD request, whose answer has no body whatever its headers say.
     */
    boolean isHeadRequest() {
        return HttpMethod.HEAD.name().equals(request.method());
    }

    /** Returns whether this is an order, whose answers engines need not name. */
    boolean isOrder() {
        return rule instanceof OrderAnswerRule;
    }

    /**
     * Returns whether the request must be sent on a new connection. The backend server may be
     * closing an idle connection just when a request is sent on it.
     */
    boolean needsNewConnection() {
        return request.headers().containsKey(IDEMPOTENCY_KEY);
    }

    /** Returns whether the request has completed, failed or been cancelled. */
    boolean isFinished() {
        return finished;
    }

    /** Returns whether the whole request has been written to the connection. */
    boolean isRequestWritten() {
        return written.isSuccess();
    }

    /** Reports a failure that occurred before any byte was written to a connection. */
    void failBeforeSending(ResultException failure) {
        if (!cancelled) {
            fail(failure);
        }
    }

    /** Sends the request; returns false if it was cancelled or the listener refused to send it. */
    boolean send(BackendConnection chosen) {
        if (cancelled) {
            finished = true;
            return false;
        }
        try {
            listener.onSending();
        } catch (ResultException refusal) {
            fail(refusal.withExecution(Execution.NOT_RUN));
            return false;
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            fail(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                            .withExecution(Execution.NOT_RUN));
            return false;
        }
        connection = chosen;
        if (cancelled) {
            finished = true;
            return false;
        }
        final Channel channel = chosen.channel();
        totalTimer = schedule(channel, request.timeoutMillis());
        if (limits.firstByteTimeoutMillis() < request.timeoutMillis()) {
            firstByteTimer = schedule(channel, limits.firstByteTimeoutMillis());
        }
        written =
                channel.writeAndFlush(
                        BackendRequestEncoder.encode(server, request, needsNewConnection()));
        return true;
    }

    /**
     * Handles the head of the answer.
     *
     * @param isSelfDelimiting whether a length, chunks or the absence of a body marks the end of
     *     the answer
     * @return false if the connection must be closed
     */
    boolean handleHead(HttpResponse response, boolean isSelfDelimiting) {
        stopTimer(firstByteTimer);
        head = response;
        selfDelimiting = isSelfDelimiting;
        final int status = response.status().code();
        try {
            if (rule.mayDeliverImmediately(status, response.headers())) {
                if (!selfDelimiting && !isEventStream()) {
                    throw AnswerHeaders.serverFailure(
                            server.name(),
                            "its answer has neither Content-Length nor chunked Transfer-Encoding");
                }
                deliverHead();
            } else {
                bufferedBody = new ByteArrayOutputStream();
            }
            return true;
        } catch (ResultException failure) {
            fail(failure);
            return false;
        }
    }

    /** Handles a part of the answer's body. */
    void handleBody(byte[] bytes) {
        if (finished) {
            return;
        }
        if (bufferedBody == null) {
            if (rule.isFromEngine()) {
                usageScanner.scan(bytes);
            }
            listener.onBytes(bytes);
        } else if (bufferedBody.size() + bytes.length <= limits.maximumErrorBytes()) {
            bufferedBody.writeBytes(bytes);
        } else {
            fail(
                    AnswerHeaders.serverFailure(
                            server.name(),
                            "the body of its error answer exceeds maximumErrorBytes"));
        }
    }

    /** Handles the end of the answer. */
    void handleEnd() {
        if (finished) {
            return;
        }
        if (bufferedBody != null) {
            deliverBufferedAnswer();
        } else if (isEventStream() && !usageScanner.endsWithDone()) {
            fail(ResultException.of(ResultCode.ANSWER_INCOMPLETE, server.name()));
        } else {
            finish();
            listener.onEnd(usageScanner.usedTokens());
        }
    }

    /** Handles the loss of the connection before the answer was complete. */
    void handleConnectionLost() {
        if (head == null || bufferedBody != null) {
            fail(
                    AnswerHeaders.serverFailure(
                            server.name(),
                            "it closed the connection before the answer was complete"));
        } else {
            fail(ResultException.of(ResultCode.ANSWER_INCOMPLETE, server.name()));
        }
    }

    /** Handles an exception on the connection, for example an answer that is not valid HTTP. */
    void handleException(String reason) {
        fail(AnswerHeaders.serverFailure(server.name(), reason));
    }

    private void deliverBufferedAnswer() {
        final byte[] body = bufferedBody.toByteArray();
        final Optional<ResultException> failure =
                rule.findFailure(head.status().code(), head.headers(), body);
        if (failure.isPresent()) {
            fail(failure.get());
            return;
        }
        deliverHead();
        if (body.length > 0) {
            listener.onBytes(body);
        }
        finish();
        listener.onEnd(UsageScanner.UNREPORTED);
    }

    private void deliverHead() {
        listener.onHead(head.status().code(), ForwardableHeaders.answerHeaders(head.headers()));
    }

    private boolean isEventStream() {
        final String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return rule.isFromEngine() && type != null && type.startsWith(EVENT_STREAM);
    }

    private void cancelOnEventLoop() {
        if (!finished) {
            finish();
            connection.close();
            sendCancelOrder.run();
        }
    }

    private void handleTimeout() {
        if (!finished) {
            fail(ResultException.of(ResultCode.BACKEND_SERVER_TIMEOUT, server.name()));
            connection.close();
            sendCancelOrder.run();
        }
    }

    private void fail(ResultException failure) {
        if (!finished) {
            finish();
            listener.onFailure(failure);
        }
    }

    private void finish() {
        finished = true;
        stopTimer(firstByteTimer);
        stopTimer(totalTimer);
    }

    private ScheduledFuture<?> schedule(Channel channel, long delayMillis) {
        return channel.eventLoop()
                .schedule(this::handleTimeout, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static void execute(BackendConnection target, Runnable action) {
        if (target.channel().eventLoop().inEventLoop()) {
            action.run();
        } else {
            target.channel().eventLoop().execute(action);
        }
    }

    private static void stopTimer(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
