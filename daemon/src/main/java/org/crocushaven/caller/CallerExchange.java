package org.crocushaven.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.crocushaven.result.Execution;
import org.crocushaven.result.Problem;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.ForwardableHeaders;

/**
 * Sends the answer to one request on a caller's connection.
 *
 * <p>Operations called on other threads are queued on the connection's event loop in order. An
 * operation called on the event loop runs immediately unless queued ones are still pending. Fields
 * that are neither final nor volatile are used only on the event loop.
 */
final class CallerExchange implements CallerResponse {
    private static final long HIGH_WATER_BYTES = 64 << 10;
    private static final long LOW_WATER_BYTES = 16 << 10;
    private static final long UNKNOWN_LENGTH = -1;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerServer server;
    private final CallerConnection connection;
    private final Channel channel;
    private final CallerEncoder encoder;
    private final String requestId;
    private final boolean headRequest;
    private final long startNanos;
    private final AtomicInteger queuedOperations = new AtomicInteger();
    private final AtomicLong pendingBytes = new AtomicLong();
    private final AtomicBoolean blocked = new AtomicBoolean();
    private final AtomicReference<Runnable> callerGoneAction = new AtomicReference<>();
    private volatile Runnable writableAction = () -> {};
    private volatile boolean callerGone;
    private volatile int pendingWrites;
    private String allowedMethods;
    private boolean keepAlive;
    private boolean begun;
    private boolean finished;
    private boolean flushScheduled;
    private boolean withoutBody;
    private boolean eventStream;
    private long remainingBytes = UNKNOWN_LENGTH;
    private byte lastByte = '\n';
    private byte byteBeforeLast = '\n';
    private long completedWriteProgress;
    private long lastProgress;
    private long lastProgressNanos;

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
        this.startNanos = now();
    }

    @Override
    public void begin(int status, Map<String, List<String>> headers) {
        run(() -> beginNow(status, headers));
    }

    @Override
    public void write(byte[] bytes) {
        if (bytes.length > 0) {
            if (pendingBytes.addAndGet(bytes.length) >= HIGH_WATER_BYTES) {
                blocked.set(true);
            }
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
        return !blocked.get();
    }

    @Override
    public void onWritable(Runnable action) {
        writableAction = action;
    }

    @Override
    public void onCallerGone(Runnable action) {
        callerGoneAction.set(action);
        if (callerGone) {
            runCallerGoneAction();
        }
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
        return pendingWrites > 0;
    }

    /**
     * Records the progress of pending writes and returns whether they have made none for the write
     * timeout.
     */
    boolean isStalled(long nowNanos) {
        if (pendingWrites == 0) {
            return false;
        }
        final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        final long progress =
                completedWriteProgress + (outbound == null ? 0 : outbound.currentProgress());
        if (progress != lastProgress) {
            lastProgress = progress;
            lastProgressNanos = nowNanos;
            return false;
        }
        final long timeout = server.environment().limits().writeTimeoutMillis();
        return nowNanos - lastProgressNanos >= TimeUnit.MILLISECONDS.toNanos(timeout);
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
        withoutBody = headRequest || status == NO_CONTENT || status == NOT_MODIFIED;
        final HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (final Map.Entry<String, List<String>> header : headers.entrySet()) {
            if (ForwardableHeaders.mayForwardToCaller(header.getKey())) {
                head.headers().set(header.getKey(), header.getValue());
            }
        }
        final String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        eventStream = type != null && type.startsWith(EVENT_STREAM);
        setBodyFraming(head);
        addExchangeHeaders(head.headers(), Execution.RAN);
        encoder.setHeadRequest(headRequest);
        send(head, 0);
    }

    private void setBodyFraming(HttpResponse head) {
        if (withoutBody) {
            return;
        }
        remainingBytes = HttpUtil.getContentLength(head, UNKNOWN_LENGTH);
        if (remainingBytes == UNKNOWN_LENGTH) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
    }

    private void writeNow(byte[] bytes) {
        if (finished || !begun || withoutBody) {
            releasePendingBytes(bytes.length);
            return;
        }
        if (remainingBytes != UNKNOWN_LENGTH) {
            remainingBytes -= bytes.length;
            if (remainingBytes < 0) {
                abort(ResultCode.ANSWER_INCOMPLETE);
                runCallerGoneAction();
                return;
            }
        }
        if (bytes.length > 1) {
            byteBeforeLast = bytes[bytes.length - 2];
        } else {
            byteBeforeLast = lastByte;
        }
        lastByte = bytes[bytes.length - 1];
        send(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.length);
    }

    private void endNow() {
        if (finished || !begun) {
            return;
        }
        if (remainingBytes > 0) {
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
        } else if (eventStream && remainingBytes == UNKNOWN_LENGTH && !withoutBody) {
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
        final boolean betweenEvents = lastByte == '\n' && byteBeforeLast == '\n';
        final String event =
                (betweenEvents ? "" : "\n\n")
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
        if (pendingWrites == 0) {
            lastProgressNanos = now();
        }
        pendingWrites++;
        channel.write(message).addListener(done -> handleWritten(bytes));
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(this::flush);
        }
    }

    private void sendLast(Object message) {
        final ChannelFuture written = channel.write(message);
        pendingWrites++;
        channel.flush();
        written.addListener(
                done -> {
                    pendingWrites--;
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
        pendingWrites--;
        // currentProgress() restarts with each write. Adding a constant for each completed write
        // makes isStalled() count the completion as progress.
        completedWriteProgress += HIGH_WATER_BYTES;
        releasePendingBytes(bytes);
    }

    private void releasePendingBytes(int bytes) {
        if (pendingBytes.addAndGet(-bytes) <= LOW_WATER_BYTES
                && blocked.compareAndSet(true, false)) {
            writableAction.run();
        }
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
