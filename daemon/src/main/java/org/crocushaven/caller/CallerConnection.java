package org.crocushaven.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.result.StopRefusals;

/**
 * Handles one connection of a caller and serves its requests one at a time, in order of arrival.
 *
 * <p>All methods except {@link #checkTimeouts}, {@link #stop}, {@link #endForStop} and {@link
 * #close} run on the connection's event loop. If a request is refused before its body has arrived,
 * a small body of known length is read and discarded and the connection stays open; otherwise the
 * answer contains {@code Connection: close} and the connection is closed.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(75);
    private static final long STOP_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long LINGER_MILLIS = 1_000;
    private static final int MAXIMUM_DISCARDED_BODY_BYTES = 64 << 10;

    private final CallerServer server;
    private final Channel channel;
    private final CallerEncoder encoder;
    private final PendingInput pendingInput;
    private boolean receivingHead;
    private boolean receivingBody;
    private boolean mayLeaveInputUnread;
    private boolean closing;
    private IncomingRequest incoming;

    /** Exchange of the current request until its answer is written out; otherwise null. */
    private volatile CallerExchange exchange;

    /** Time by which the current request must be complete or an idle connection must start one. */
    private volatile long receiveDeadlineNanos;

    CallerConnection(CallerServer server, Channel channel, CallerEncoder encoder) {
        this.server = server;
        this.channel = channel;
        this.encoder = encoder;
        this.pendingInput = new PendingInput(channel.config());
        this.receiveDeadlineNanos = now() + IDLE_TIMEOUT_NANOS;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (!server.register(this)) {
            final int maximum = server.environment().limits().maximumConnections();
            refuseAndClose(ResultException.of(ResultCode.TOO_MANY_CONNECTIONS, maximum));
        }
        if (server.isStopping()) {
            stop();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        receiveDeadlineNanos = NO_DEADLINE;
        pendingInput.clear();
        releaseIncoming();
        if (exchange != null) {
            exchange.handleCallerGone();
        }
        server.unregister(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Starts the receive timeout if the received bytes are the first of a request. */
    void handleBytesReceived() {
        if (!closing && exchange == null && !receivingBody && !receivingHead) {
            receivingHead = true;
            receiveDeadlineNanos =
                    now()
                            + TimeUnit.MILLISECONDS.toNanos(
                                    server.environment().limits().receiveTimeoutMillis());
        }
    }

    /**
     * Schedules the enforcement of timeouts if one may have passed; may be called on any thread.
     */
    void checkTimeouts(long nowNanos) {
        final CallerExchange current = exchange;
        if (isReceiveDeadlinePassed(nowNanos) || current != null && current.hasPendingWrites()) {
            channel.eventLoop().execute(() -> enforceTimeouts(nowNanos));
        }
    }

    /**
     * Shortens the timeout of a connection without a request to a grace period. Any other
     * connection is closed after its answer; if the head of the answer was sent before the stop and
     * kept the connection open, the grace period starts after the answer.
     */
    void stop() {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (exchange == null && !receivingBody && !receivingHead) {
                                receiveDeadlineNanos = now() + STOP_GRACE_NANOS;
                            }
                        });
    }

    /**
     * Answers the current request, if any, because the instance ends, and closes the connection;
     * may be called on any thread. A request that has not arrived whole has not run.
     */
    void endForStop() {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (receivingHead || incoming != null && receivingBody) {
                                refuseAndClose(StopRefusals.notRun());
                            } else if (exchange != null) {
                                exchange.endForStop();
                            } else {
                                channel.close();
                            }
                        });
    }

    /** Closes the connection at once. */
    void close() {
        channel.close();
    }

    /** Closes the connection or continues with the next request after an answer was written. */
    void handleAnswerWritten(boolean keepAlive) {
        exchange = null;
        releaseIncoming();
        if (!keepAlive || closing) {
            closeAfterAnswer();
            return;
        }
        if (!receivingBody) {
            receiveDeadlineNanos =
                    now() + (server.isStopping() ? STOP_GRACE_NANOS : IDLE_TIMEOUT_NANOS);
        }
        processPending();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (closing) {
            return;
        }
        if (pendingInput.isEmpty() && !isAnswering()) {
            process(message);
        } else {
            pendingInput.add(message);
        }
    }

    private boolean isAnswering() {
        return exchange != null && !receivingBody;
    }

    private void processPending() {
        while (!pendingInput.isEmpty() && !isAnswering() && !closing) {
            final HttpObject message = pendingInput.remove();
            try {
                process(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        pendingInput.continueReadingIfEmpty();
    }

    private void process(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            refuseAndClose(DecodingFailure.toRefusal(message, server.environment().limits()));
            return;
        }
        if (message instanceof HttpRequest request) {
            processHead(request);
        }
        if (message instanceof HttpContent content && !closing) {
            processContent(content);
        }
    }

    private void processHead(HttpRequest request) {
        receivingHead = false;
        receivingBody = true;
        final long arrival = now();
        final boolean keepAlive = HttpUtil.isKeepAlive(request);
        final boolean headRequest = HttpMethod.HEAD.equals(request.method());
        try {
            final Optional<String> callerIdentifier =
                    RequestIdentifiers.parse(request.headers().get(RequestHead.REQUEST_ID));
            exchange = newExchange(callerIdentifier, headRequest, keepAlive);
            incoming = IncomingRequest.of(server, exchange.requestId(), request, arrival);
            if (HttpUtil.is100ContinueExpected(request)) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
        } catch (ResultException refusal) {
            if (exchange == null) {
                exchange = newExchange(Optional.empty(), headRequest, keepAlive);
            }
            if (refusal.code() == ResultCode.METHOD_NOT_ALLOWED) {
                exchange.setAllowedMethods(RequestTarget.allowedMethods(request.uri()));
            }
            if (isBodyDiscardable(request)) {
                exchange.refuse(refusal);
            } else {
                refuseAndClose(refusal);
            }
        }
    }

    private void processContent(HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        receivingBody = !last;
        try {
            if (incoming != null) {
                incoming.append(content.content());
            }
            if (last) {
                handleBodyComplete();
            }
        } catch (ResultException refusal) {
            releaseIncoming();
            if (last) {
                exchange.refuse(refusal);
            } else {
                refuseAndClose(refusal);
            }
        } catch (RuntimeException fault) {
            EventLine.fault(fault).with("request", exchange.requestId()).error();
            exchange.refuse(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName()));
        }
    }

    private void handleBodyComplete() {
        receiveDeadlineNanos = exchange == null ? now() + IDLE_TIMEOUT_NANOS : NO_DEADLINE;
        if (incoming != null) {
            incoming.dispatch(exchange);
        }
    }

    /** Sends a refusal, even if no request head was received, and closes the connection. */
    private void refuseAndClose(ResultException refusal) {
        closing = true;
        mayLeaveInputUnread = true;
        receivingHead = false;
        receiveDeadlineNanos = NO_DEADLINE;
        if (exchange == null) {
            exchange = newExchange(Optional.empty(), false, false);
        }
        exchange.disableKeepAlive();
        exchange.refuse(refusal);
    }

    private void enforceTimeouts(long nowNanos) {
        if (isReceiveDeadlinePassed(nowNanos)) {
            if (receivingHead || incoming != null) {
                final long timeout = server.environment().limits().receiveTimeoutMillis();
                refuseAndClose(ResultException.of(ResultCode.REQUEST_TIMEOUT, timeout));
            } else {
                channel.close();
            }
        }
        final CallerExchange current = exchange;
        if (current != null && current.isStalled(nowNanos)) {
            current.handleStalledCaller();
        }
    }

    private void closeAfterAnswer() {
        closing = true;
        receiveDeadlineNanos = NO_DEADLINE;
        final boolean unread = mayLeaveInputUnread || receivingBody || !pendingInput.isEmpty();
        if (!unread || !(channel instanceof SocketChannel socket)) {
            channel.close();
            return;
        }
        // Closing a socket with unread input resets the connection, and the caller may lose the
        // answer. Therefore only the output is shut down; the channel is closed when the caller
        // closes its side or the linger time has passed.
        socket.shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(this::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CallerExchange newExchange(
            Optional<String> callerIdentifier, boolean headRequest, boolean keepAlive) {
        final String requestId = server.identifiers().next(callerIdentifier);
        return new CallerExchange(
                server, this, channel, encoder, requestId, headRequest, keepAlive);
    }

    private void releaseIncoming() {
        if (incoming != null) {
            incoming.release();
            incoming = null;
        }
    }

    private boolean isReceiveDeadlinePassed(long nowNanos) {
        final long deadline = receiveDeadlineNanos;
        return deadline != NO_DEADLINE && nowNanos - deadline >= 0;
    }

    private long now() {
        return server.environment().nanoClock().nanoTime();
    }

    private static boolean isBodyDiscardable(HttpRequest request) {
        return !HttpUtil.isTransferEncodingChunked(request)
                && !HttpUtil.is100ContinueExpected(request)
                && HttpUtil.getContentLength(request, 0L) <= MAXIMUM_DISCARDED_BODY_BYTES;
    }
}
