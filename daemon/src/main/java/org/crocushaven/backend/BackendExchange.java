package org.crocushaven.backend;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.ForwardableHeaders;

/**
 * One request to a backend server, from the choice of a connection to the end of the answer.
 *
 * <p>Fields without {@code volatile} belong to the event loop of the connection.
 */
final class BackendExchange implements BackendCall {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String TIMEOUT_MILLIS = "Crocushaven-Timeout-Millis";

    private final BackendServer server;
    private final BackendRequest request;
    private final AnswerRule rule;
    private final BackendListener listener;
    private final BackendClientLimits limits;
    private final Runnable cancelOrder;
    private final UsageScanner scanner = new UsageScanner();

    private volatile BackendConnection connection;
    private volatile boolean cancelled;
    private volatile boolean finished;
    private ChannelFuture written;
    private ScheduledFuture<?> firstByteTimer;
    private ScheduledFuture<?> wholeTimer;
    private HttpResponse head;
    private ByteArrayOutputStream held;
    private boolean delimited;

    BackendExchange(
            BackendServer server,
            BackendRequest request,
            AnswerRule rule,
            BackendListener listener,
            BackendClientLimits limits,
            Runnable cancelOrder) {
        this.server = server;
        this.request = request;
        this.rule = rule;
        this.listener = listener;
        this.limits = limits;
        this.cancelOrder = cancelOrder;
    }

    @Override
    public void cancel() {
        cancelled = true;
        final BackendConnection used = connection;
        if (used != null) {
            execute(used, this::cancelNow);
        }
    }

    @Override
    public void setReading(boolean reading) {
        final BackendConnection used = connection;
        if (used != null) {
            execute(
                    used,
                    () -> {
                        if (!finished) {
                            used.channel().config().setAutoRead(reading);
                        }
                    });
        }
    }

    /** Returns whether the answer to this request has no body whatever its headers say. */
    boolean isHeadRequest() {
        return HttpMethod.HEAD.name().equals(request.method());
    }

    /** Returns whether the request needs a connection of its own that cannot just be closing. */
    boolean needsNewConnection() {
        return request.headers().containsKey(IDEMPOTENCY_KEY);
    }

    /** Returns whether the listener has heard the end, or is to hear nothing more. */
    boolean isFinished() {
        return finished;
    }

    /** Returns whether the whole request has been handed to the network. */
    boolean requestWritten() {
        return written.isSuccess();
    }

    /** Reports a failure before any byte was handed to the network. */
    void failBeforeSending(ResultException failure) {
        if (!cancelled) {
            fail(failure);
        }
    }

    /** Sends the request; returns false when it was cancelled or stopped before that. */
    boolean send(BackendConnection used) {
        if (cancelled) {
            finished = true;
            return false;
        }
        try {
            listener.onSending();
        } catch (ResultException stopped) {
            fail(stopped.withExecution(Execution.NOT_RUN));
            return false;
        }
        connection = used;
        if (cancelled) {
            finished = true;
            return false;
        }
        final Channel channel = used.channel();
        wholeTimer = schedule(channel, request.timeoutMillis());
        if (limits.firstByteTimeoutMillis() < request.timeoutMillis()) {
            firstByteTimer = schedule(channel, limits.firstByteTimeoutMillis());
        }
        written = channel.writeAndFlush(encode());
        return true;
    }

    /** Takes the head of the answer; returns false when the connection must be closed. */
    boolean headArrived(HttpResponse response, boolean answerDelimited) {
        stopTimer(firstByteTimer);
        head = response;
        delimited = answerDelimited;
        final int status = response.status().code();
        try {
            if (rule.deliverAtOnce(status, response.headers())) {
                if (!delimited && !isMarkedStream()) {
                    throw AnswerHeaders.failed(server.name(), "its answer has no length");
                }
                deliverHead();
            } else {
                held = new ByteArrayOutputStream();
            }
            return true;
        } catch (ResultException refused) {
            fail(refused);
            return false;
        }
    }

    /** Takes a part of the answer's body. */
    void bytesArrived(byte[] bytes) {
        if (finished) {
            return;
        }
        if (held == null) {
            if (rule.isFromEngine()) {
                scanner.scan(bytes);
            }
            listener.onBytes(bytes);
        } else if (held.size() + bytes.length <= limits.maximumErrorBytes()) {
            held.writeBytes(bytes);
        } else {
            fail(AnswerHeaders.failed(server.name(), "its error answer is too large"));
        }
    }

    /** Takes the end of the answer. */
    void answerComplete() {
        if (finished) {
            return;
        }
        if (held != null) {
            deliverHeld();
        } else if (isMarkedStream() && !scanner.endsWithDone()) {
            fail(ResultException.of(ResultCode.ANSWER_INCOMPLETE, server.name()));
        } else {
            finish();
            listener.onEnd(scanner.usedTokens());
        }
    }

    /** Takes the loss of the connection before the answer was complete. */
    void connectionLost() {
        if (head == null || held != null) {
            fail(AnswerHeaders.failed(server.name(), "it closed the connection"));
        } else {
            fail(ResultException.of(ResultCode.ANSWER_INCOMPLETE, server.name()));
        }
    }

    /** Takes a break of the protocol on the connection. */
    void broken(String reason) {
        fail(AnswerHeaders.failed(server.name(), reason));
    }

    private void deliverHeld() {
        final byte[] body = held.toByteArray();
        final Optional<ResultException> failure =
                rule.judge(head.status().code(), head.headers(), body);
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

    private boolean isMarkedStream() {
        final String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return rule.isFromEngine() && type != null && type.startsWith(EVENT_STREAM);
    }

    private void cancelNow() {
        if (!finished) {
            finish();
            connection.close();
            cancelOrder.run();
        }
    }

    private void timedOut() {
        if (!finished) {
            fail(ResultException.of(ResultCode.BACKEND_SERVER_TIMEOUT, server.name()));
            connection.close();
            cancelOrder.run();
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
        stopTimer(wholeTimer);
    }

    private ScheduledFuture<?> schedule(Channel channel, long delayMillis) {
        return channel.eventLoop().schedule(this::timedOut, delayMillis, TimeUnit.MILLISECONDS);
    }

    private FullHttpRequest encode() {
        final FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        Unpooled.wrappedBuffer(request.body()));
        final HttpHeaders headers = message.headers();
        for (final Map.Entry<String, List<String>> header : request.headers().entrySet()) {
            if (ForwardableHeaders.maySendToBackendServer(header.getKey())) {
                headers.set(header.getKey(), header.getValue());
            }
        }
        headers.set(HttpHeaderNames.HOST, server.host() + ":" + server.port());
        if (needsNewConnection()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        headers.set(AnswerHeaders.REQUEST_ID, request.requestId());
        headers.set(TIMEOUT_MILLIS, Long.toString(request.timeoutMillis()));
        headers.set("Priority", "u=" + request.urgency());
        if (request.body().length > 0 || !hasNoBodyByDefault()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return message;
    }

    private boolean hasNoBodyByDefault() {
        return HttpMethod.GET.name().equals(request.method()) || isHeadRequest();
    }

    private static void execute(BackendConnection used, Runnable action) {
        if (used.channel().eventLoop().inEventLoop()) {
            action.run();
        } else {
            used.channel().eventLoop().execute(action);
        }
    }

    private static void stopTimer(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
