package org.crocushaven.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.crocushaven.result.Execution;
import org.crocushaven.result.Problem;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.result.StopRefusals;
import org.crocushaven.security.ForwardableHeaders;

/**
 * Sends the answer to one request on a caller's connection.
 *
 * <p>Operations called on other threads are queued on the connection's event loop in order. An
 * operation called on the event loop runs immediately unless queued ones are still pending. Fields
 * that are neither final nor volatile are used only on the event loop.
 */
final class CallerExchange implements CallerResponse {
    private final CallerServer server;
    private final CallerConnection connection;
    private final Channel channel;
    private final CallerEncoder encoder;
    private final String requestId;
    private final boolean headRequest;
    private final long startNanos;
    private final AtomicInteger queuedOperations = new AtomicInteger();
    private final AnswerBackpressure backpressure = new AnswerBackpressure();
    private final WriteProgress writes;
    private final AtomicReference<Runnable> callerGoneAction = new AtomicReference<>();
    private volatile Runnable instanceEndingAction;
    private volatile boolean callerGone;
    private String allowedMethods;
    private boolean keepAlive;
    private boolean begun;
    private boolean finished;
    private boolean flushScheduled;
    private AnswerBody body;

    CallerExchange(
            CallerServer server,
            CallerConnection connection,
            Channel channel,
            CallerEncoder encoder,
            String requestId,
            boolean headRequest,
            boolean keepAlive) {
        this.server = server;
        this.connection = connection;
        this.channel = channel;
        this.encoder = encoder;
        this.requestId = requestId;
        this.headRequest = headRequest;
        this.keepAlive = keepAlive;
        this.writes =
                new WriteProgress(channel, server.environment().limits().writeTimeoutMillis());
        this.startNanos = now();
    }

    @Override
    public void begin(int status, Map<String, List<String>> headers) {
        run(() -> beginNow(status, headers));
    }

    @Override
    public void write(byte[] bytes) {
        if (bytes.length > 0) {
            backpressure.add(bytes.length);
            run(() -> writeNow(bytes));
        }
    }

    @Override
    public void end() {
        run(this::endNow);
    }

    @Override
    public void refuse(ResultException refusal) {
        run(() -> refuseNow(refusal));
    }

    @Override
    public boolean isWritable() {
        return backpressure.isWritable();
    }

    @Override
    public void onWritable(Runnable action) {
        backpressure.onWritable(action);
    }

    @Override
    public void onCallerGone(Runnable action) {
        callerGoneAction.set(action);
        if (callerGone) {
            runCallerGoneAction();
        }
    }

    @Override
    public void onInstanceEnding(Runnable action) {
        instanceEndingAction = action;
    }

    /** Refuses the request, unless its answer is complete, because the instance ends. */
    void endForStop() {
        disableKeepAlive();
        final Runnable action = instanceEndingAction;
        if (action != null && !finished) {
            action.run();
        }
        refuse(StopRefusals.mayHaveRun(""));
    }

    /** Returns the identifier of the request. */
    String requestId() {
        return requestId;
    }

    /** Sets the value of the {@code Allow} header of a refusal. */
    void setAllowedMethods(String methods) {
        allowedMethods = methods;
    }

    /** Makes the connection close after this answer. */
    void disableKeepAlive() {
        keepAlive = false;
    }

    /** Returns whether bytes passed to the channel are not yet written to the socket. */
    boolean hasPendingWrites() {
        return writes.hasPendingWrites();
    }

    /** Returns whether pending writes have made no progress for the write timeout. */
    boolean isStalled(long nowNanos) {
        return writes.isStalled(nowNanos);
    }

    /** Aborts the answer because the caller does not read it. */
    void handleStalledCaller() {
        finish(ResultCode.SLOW_READER);
        channel.close();
        runCallerGoneAction();
    }

    /** Ends the answer because the connection was closed. */
    void handleCallerGone() {
        finish(ResultCode.CALLER_CANCELLED);
        runCallerGoneAction();
    }

    private void run(Runnable operation) {
        if (channel.eventLoop().inEventLoop() && queuedOperations.get() == 0) {
            operation.run();
            return;
        }
        queuedOperations.incrementAndGet();
        channel.eventLoop()
                .execute(
                        () -> {
                            queuedOperations.decrementAndGet();
                            operation.run();
                        });
    }

    private void beginNow(int status, Map<String, List<String>> headers) {
        if (finished || begun) {
            return;
        }
        begun = true;
        keepAlive = keepAlive && !server.isStopping();
        final HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (final Map.Entry<String, List<String>> header : headers.entrySet()) {
            if (ForwardableHeaders.mayForwardToCaller(header.getKey())) {
                head.headers().set(header.getKey(), header.getValue());
            }
        }
        body = AnswerBody.after(head, headRequest);
        addExchangeHeaders(head.headers(), Execution.RAN);
        encoder.setHeadRequest(headRequest);
        send(head, 0);
    }

    private void writeNow(byte[] bytes) {
        if (finished || !begun || body.isAbsent()) {
            backpressure.release(bytes.length);
            return;
        }
        if (!body.add(bytes)) {
            abort(ResultCode.ANSWER_INCOMPLETE);
            runCallerGoneAction();
            return;
        }
        send(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.length);
    }

    private void endNow() {
        if (finished || !begun) {
            return;
        }
        if (body.isIncomplete()) {
            abort(ResultCode.ANSWER_INCOMPLETE);
            return;
        }
        callerGoneAction.set(null);
        finish(ResultCode.OK);
        sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void refuseNow(ResultException refusal) {
        if (finished) {
            return;
        }
        callerGoneAction.set(null);
        if (!begun) {
            finish(refusal.code());
            sendRefusal(refusal);
        } else if (body.mayEndWithErrorEvent()) {
            finish(refusal.code());
            sendErrorEvent(refusal);
        } else {
            abort(refusal.code());
        }
    }

    private void sendRefusal(ResultException refusal) {
        begun = true;
        keepAlive = keepAlive && !server.isStopping();
        final DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                        Unpooled.wrappedBuffer(Problem.encode(refusal, requestId)));
        RefusalHeaders.set(response.headers(), refusal);
        if (allowedMethods != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allowedMethods);
        }
        HttpUtil.setContentLength(response, response.content().readableBytes());
        addExchangeHeaders(response.headers(), refusal.execution());
        encoder.setHeadRequest(headRequest);
        sendLast(response);
    }

    private void sendErrorEvent(ResultException refusal) {
        final String event =
                (body.endsBetweenEvents() ? "" : "\n\n")
                        + "event: error\ndata: "
                        + new String(Problem.encode(refusal, requestId), StandardCharsets.UTF_8)
                        + "\n\n";
        send(
                new DefaultHttpContent(
                        Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8))),
                0);
        sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection, which shows the caller that the answer is incomplete. */
    private void abort(ResultCode code) {
        finish(code);
        channel.flush();
        channel.close();
    }

    private void finish(ResultCode code) {
        if (!finished) {
            finished = true;
            server.environment().observer().ended(requestId, code, now() - startNanos);
        }
    }

    private void addExchangeHeaders(HttpHeaders headers, Execution execution) {
        headers.set(RequestHead.REQUEST_ID, requestId);
        headers.set("Crocushaven-Instance", server.environment().instance());
        headers.set("Crocushaven-Execution", execution.headerValue());
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void send(Object message, int bytes) {
        writes.start(now());
        channel.write(message).addListener(done -> handleWritten(bytes));
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(this::flush);
        }
    }

    private void sendLast(Object message) {
        final ChannelFuture written = channel.write(message);
        writes.startLast();
        channel.flush();
        written.addListener(
                done -> {
                    writes.completeLast();
                    if (done.isSuccess()) {
                        connection.handleAnswerWritten(keepAlive);
                    } else {
                        channel.close();
                    }
                });
    }

    private void flush() {
        flushScheduled = false;
        channel.flush();
    }

    private void handleWritten(int bytes) {
        writes.complete();
        backpressure.release(bytes);
    }

    private void runCallerGoneAction() {
        callerGone = true;
        final Runnable action = callerGoneAction.getAndSet(null);
        if (action != null) {
            action.run();
        }
    }

    private long now() {
        return server.environment().nanoClock().nanoTime();
    }
}
