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
 * The answer to one request on a caller's connection.
 *
 * <p>Operations from other threads are handed to the connection's event loop in order; an operation
 * runs at once only when none of them is still on its way. Fields that are neither final nor
 * volatile belong to the event loop.
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
    private final AtomicReference<Runnable> goneAction = new AtomicReference<>();
    private volatile Runnable writableAction = () -> {};
    private volatile boolean gone;
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
    private long completedWrites;
    private long seenProgress;
    private long progressNanos;

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
    public boolean writable() {
        return !blocked.get();
    }

    @Override
    public void onWritable(Runnable action) {
        writableAction = action;
    }

    @Override
    public void onCallerGone(Runnable action) {
        goneAction.set(action);
        if (gone) {
            runGoneAction();
        }
    }

    /** Returns the identifier of the request. */
    String requestId() {
        return requestId;
    }

    /** Sets the methods that a refusal names as allowed. */
    void allowMethods(String methods) {
        allowedMethods = methods;
    }

    /** Lets the connection be closed after this answer. */
    void closeAfterwards() {
        keepAlive = false;
    }

    /** Returns whether bytes were handed to the connection and are not yet written out. */
    boolean hasPendingWrites() {
        return pendingWrites > 0;
    }

    /** Returns whether the caller has read nothing for longer than it may. */
    boolean isStalled(long nowNanos) {
        if (pendingWrites == 0) {
            return false;
        }
        final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        final long progress = completedWrites + (outbound == null ? 0 : outbound.currentProgress());
        if (progress != seenProgress) {
            seenProgress = progress;
            progressNanos = nowNanos;
            return false;
        }
        final long timeout = server.environment().limits().writeTimeoutMillis();
        return nowNanos - progressNanos >= TimeUnit.MILLISECONDS.toNanos(timeout);
    }

    /** Ends the answer because the caller does not read it. */
    void callerTooSlow() {
        finish(ResultCode.SLOW_READER);
        channel.close();
        runGoneAction();
    }

    /** Ends the answer because the connection has closed. */
    void callerGone() {
        finish(ResultCode.CALLER_CANCELLED);
        runGoneAction();
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
        frame(head);
        addOwnHeaders(head.headers(), Execution.RAN);
        encoder.answersHeadRequest(headRequest);
        send(head, 0);
    }

    private void frame(HttpResponse head) {
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
            forgetBytes(bytes.length);
            return;
        }
        if (remainingBytes != UNKNOWN_LENGTH) {
            remainingBytes -= bytes.length;
            if (remainingBytes < 0) {
                abort(ResultCode.ANSWER_INCOMPLETE);
                runGoneAction();
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
        goneAction.set(null);
        finish(ResultCode.OK);
        sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void refuseNow(ResultException refusal) {
        if (finished) {
            return;
        }
        goneAction.set(null);
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
        RefusalHeaders.add(response.headers(), refusal);
        if (allowedMethods != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allowedMethods);
        }
        HttpUtil.setContentLength(response, response.content().readableBytes());
        addOwnHeaders(response.headers(), refusal.execution());
        encoder.answersHeadRequest(headRequest);
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

    /** Closes the connection so that the caller sees that the answer is incomplete. */
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

    private void addOwnHeaders(HttpHeaders headers, Execution execution) {
        headers.set(RequestHead.REQUEST_ID, requestId);
        headers.set("Crocushaven-Instance", server.environment().instance());
        headers.set("Crocushaven-Execution", execution.headerValue());
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void send(Object message, int bytes) {
        if (pendingWrites == 0) {
            progressNanos = now();
        }
        pendingWrites++;
        channel.write(message).addListener(done -> sent(bytes));
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
                        connection.answered(keepAlive);
                    } else {
                        channel.close();
                    }
                });
    }

    private void flush() {
        flushScheduled = false;
        channel.flush();
    }

    private void sent(int bytes) {
        pendingWrites--;
        completedWrites += HIGH_WATER_BYTES;
        forgetBytes(bytes);
    }

    private void forgetBytes(int bytes) {
        if (pendingBytes.addAndGet(-bytes) <= LOW_WATER_BYTES
                && blocked.compareAndSet(true, false)) {
            writableAction.run();
        }
    }

    private void runGoneAction() {
        gone = true;
        final Runnable action = goneAction.getAndSet(null);
        if (action != null) {
            action.run();
        }
    }

    private long now() {
        return server.environment().nanoClock().nanoTime();
    }
}
