package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Reads the requests of one client connection and serves them one after the other. */
final class IngressConnection extends ChannelInboundHandlerAdapter {
    /** Number of pipelined requests at which reading from the connection stops. */
    private static final int MAXIMUM_PIPELINED = 16;

    /** Retry delay for clients of a stopping gateway; another gateway can serve them. */
    private static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(20);

    private final IngressServer server;
    private final ReadActivityHandler activity;
    private final IngressLimits limits;
    private final Deque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private ClientExchange current;
    private RequestForwarding forwarding;
    private boolean closing;

    IngressConnection(IngressServer server, ReadActivityHandler activity, IngressLimits limits) {
        this.server = server;
        this.activity = activity;
        this.limits = limits;
    }

    Channel channel() {
        return channel;
    }

    boolean isBusy() {
        return current != null || head != null || !pipelined.isEmpty();
    }

    /** Called when the current answer is written; serves the next pipelined request. */
    void answerWritten(boolean keepOpen) {
        current = null;
        forwarding = null;
        activity.resetIdleTime();
        if (!keepOpen) {
            return;
        }
        final ReceivedRequest next = pipelined.poll();
        if (next != null) {
            channel.config().setAutoRead(true);
            serve(next);
        }
    }

    /**
     * Closes the connection when its client takes too long to send a request head, or when it has
     * been idle for too long.
     */
    void checkTimeouts(long nowNanos) {
        final long incompleteMillis =
                TimeUnit.NANOSECONDS.toMillis(activity.incompleteNanos(nowNanos));
        final long idleMillis = TimeUnit.NANOSECONDS.toMillis(activity.idleNanos(nowNanos));
        if (head == null && incompleteMillis > limits.headerTimeoutMillis() && !closing) {
            refuseAndClose(
                    ResultException.of(ResultCode.REQUEST_TIMEOUT, limits.headerTimeoutMillis()));
        } else if (current == null && idleMillis > limits.idleTimeoutMillis()) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!closing) {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (forwarding != null) {
            forwarding.clientWritabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.removeConnection(this);
        if (forwarding != null) {
            forwarding.clientDisconnected();
        }
        pipelined.forEach(received -> received.body.release());
        pipelined.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
            return;
        }
        server.environment().observer().faulted(cause, current != null);
        context.close();
    }

    private void read(Object message) {
        if (message instanceof HttpRequest request) {
            readHead(request);
        }
        if (message instanceof HttpContent content && head != null && !closing) {
            readContent(content);
        }
    }

    private void readHead(HttpRequest request) {
        final DecoderResult result = request.decoderResult();
        if (result.isFailure()) {
            refuseAndClose(decodingFailure(result.cause()));
            return;
        }
        head = request;
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseAndClose(decodingFailure(content.decoderResult().cause()));
            return;
        }
        final ByteBuf data = content.content();
        if (data.isReadable()) {
            if (body.readableBytes() + data.readableBytes() > limits.maximumBodyBytes()) {
                refuseAndClose(
                        ResultException.of(ResultCode.BODY_TOO_LARGE, limits.maximumBodyBytes()));
                return;
            }
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(data.readableBytes());
            }
            body.writeBytes(data);
        }
        if (content instanceof LastHttpContent) {
            final ReceivedRequest received = new ReceivedRequest(head, body);
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            activity.requestCompleted();
            requestReceived(received);
        }
    }

    private void requestReceived(ReceivedRequest received) {
        if (current == null) {
            serve(received);
            return;
        }
        pipelined.add(received);
        if (pipelined.size() >= MAXIMUM_PIPELINED) {
            channel.config().setAutoRead(false);
        }
    }

    private void serve(ReceivedRequest received) {
        final boolean keepOpen = HttpUtil.isKeepAlive(received.head) && !server.isStopping();
        final ClientExchange exchange = new ClientExchange(this, channel, keepOpen);
        current = exchange;
        if (server.isRefusing()) {
            received.body.release();
            final ResultException refusal =
                    ResultException.of(ResultCode.STOPPING).withRetryAfter(STOPPING_RETRY_DELAY);
            server.environment()
                    .observer()
                    .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), false);
            exchange.refuse(refusal);
            return;
        }
        final IngressRequest request;
        try {
            request = server.environment().dialect().decodeRequest(received.head);
        } catch (ResultException refusal) {
            received.body.release();
            server.environment()
                    .observer()
                    .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), false);
            exchange.refuse(refusal);
            return;
        }
        final RequestForwarding started =
                RequestForwarding.start(server.environment(), request, received.body, exchange);
        if (current == exchange) {
            forwarding = started;
        }
    }

    private void refuseAndClose(ResultException refusal) {
        closing = true;
        server.environment()
                .observer()
                .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), current != null);
        if (current != null) {
            channel.close();
            return;
        }
        final FullHttpResponse response = ClientExchange.refusal(refusal);
        HttpUtil.setKeepAlive(response, false);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private ResultException decodingFailure(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return ResultException.of(ResultCode.HEADERS_TOO_LARGE, limits.maximumHeaderBytes());
        }
        return ResultException.of(ResultCode.MALFORMED_REQUEST, cause.getClass().getSimpleName());
    }

    private record ReceivedRequest(HttpRequest head, ByteBuf body) {}
}
