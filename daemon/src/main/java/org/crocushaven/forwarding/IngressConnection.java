package org.crocushaven.forwarding;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.result.StopRefusals;

/** Reads the requests of one client connection and serves them one after the other. */
final class IngressConnection extends ChannelInboundHandlerAdapter {
    /** Number of pipelined requests at which reading from the connection stops. */
    private static final int MAXIMUM_PIPELINED = 16;

    private final IngressServer server;
    private final ReadActivityHandler activity;
    private final LimitsInForce limits;
    private final Deque<ReceivedRequest> pipelined = new ArrayDeque<>();
    private final RequestAssembly assembly;
    private Channel channel;
    private ClientExchange current;
    private RequestForwarding forwarding;
    private boolean closing;

    /** Bytes of answers that the client had not taken at the last check. */
    private long unwrittenBytes;

    /** Refusal of an unreadable request, which follows the answers that are still due. */
    private ResultException finalRefusal;

    IngressConnection(IngressServer server, ReadActivityHandler activity, LimitsInForce limits) {
        this.server = server;
        this.activity = activity;
        this.limits = limits;
        this.assembly = new RequestAssembly(limits);
    }

    Channel channel() {
        return channel;
    }

    boolean isBusy() {
        return current != null
                || assembly.isUnderWay()
                || !pipelined.isEmpty()
                || channel.isActive() && pendingBytes() > 0;
    }

    /** Returns whether the connection stays open after the answer that begins now. */
    boolean mayStayOpen() {
        return !server.isStopping() || !pipelined.isEmpty();
    }

    /** Called when the current answer is written; serves the next pipelined request. */
    void answerWritten(boolean keepOpen) {
        current = null;
        forwarding = null;
        activity.resetIdleTime();
        if (!keepOpen) {
            closing = true;
            return;
        }
        final ReceivedRequest next = pipelined.poll();
        if (next != null) {
            channel.config().setAutoRead(true);
            serve(next);
        } else if (finalRefusal != null) {
            writeFinalRefusal();
        }
    }

    /** Ends the request under way, since the gateway ends. */
    void endRequest() {
        if (forwarding != null) {
            forwarding.gatewayStops();
        }
    }

    /** Reports what a gateway that ends now leaves of this connection. */
    void reportUnfinished() {
        if (!channel.isActive()) {
            return;
        }
        final ForwardingObserver observer = server.environment().observer();
        if (forwarding != null) {
            observer.leftUnfinished(
                    forwarding.request().requestId(),
                    forwarding.eventCount() > 0 ? UnfinishedWork.STREAM : UnfinishedWork.UNANSWERED,
                    TimeUnit.NANOSECONDS.toMillis(
                            server.environment().nowNanos() - forwarding.arrivedNanos()));
        } else if (pendingBytes() > 0) {
            observer.leftUnfinished("-", UnfinishedWork.UNWRITTEN, 0);
        }
        pipelined.forEach(queued -> observer.leftUnfinished("-", UnfinishedWork.QUEUED, 0));
        if (assembly.isUnderWay()) {
            observer.leftUnfinished("-", UnfinishedWork.INCOMPLETE, 0);
        }
    }

    /**
     * Closes the connection when its client takes too long to send a request head, or when it has
     * been idle for too long.
     */
    void checkTimeouts(long nowNanos) {
        if (pendingBytes() != unwrittenBytes) {
            unwrittenBytes = pendingBytes();
            activity.resetIdleTime();
        }
        final long incompleteMillis =
                TimeUnit.NANOSECONDS.toMillis(activity.incompleteNanos(nowNanos));
        final long headerTimeoutMillis = limits.ofRequest().headerTimeoutMillis();
        final long idleMillis = TimeUnit.NANOSECONDS.toMillis(activity.idleNanos(nowNanos));
        final long idleTimeoutMillis = limits.idleTimeoutMillis();
        if (!assembly.isUnderWay() && incompleteMillis > headerTimeoutMillis && !closing) {
            refuseAndClose(ResultException.of(ResultCode.REQUEST_TIMEOUT, headerTimeoutMillis));
        } else if (current == null && idleMillis > idleTimeoutMillis) {
            server.environment().observer().closedIdle(idleMillis, idleTimeoutMillis);
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
        pipelined.forEach(received -> received.body().bytes().release());
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

    private long pendingBytes() {
        final ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void read(Object message) {
        final Optional<ReceivedRequest> received;
        try {
            received = assemble(message);
        } catch (ResultException refusal) {
            refuseAndClose(refusal);
            return;
        }
        received.ifPresent(this::requestReceived);
    }

    private Optional<ReceivedRequest> assemble(Object message) {
        if (message instanceof HttpRequest request) {
            assembly.begin(request);
            if (HttpUtil.is100ContinueExpected(request)) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }
        return message instanceof HttpContent content && assembly.isUnderWay()
                ? assembly.add(content)
                : Optional.empty();
    }

    private void requestReceived(ReceivedRequest received) {
        activity.requestCompleted();
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
        final ClientExchange exchange =
                new ClientExchange(this, channel, HttpUtil.isKeepAlive(received.head()));
        current = exchange;
        if (server.isRefusing()) {
            received.body().bytes().release();
            final ResultException refusal = StopRefusals.notRun();
            server.environment()
                    .observer()
                    .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), false);
            exchange.refuse(refusal);
            return;
        }
        final IngressRequest request;
        try {
            request = server.environment().dialect().decodeRequest(received.head());
        } catch (ResultException refusal) {
            received.body().bytes().release();
            server.environment()
                    .observer()
                    .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), false);
            exchange.refuse(refusal);
            return;
        } catch (RuntimeException fault) {
            received.body().bytes().release();
            server.environment().observer().faulted(fault, true);
            exchange.refuse(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                            .withExecution(Execution.NOT_RUN));
            return;
        }
        final RequestForwarding started =
                RequestForwarding.start(server.environment(), request, received.body(), exchange);
        if (current == exchange) {
            forwarding = started;
        }
    }

    private void refuseAndClose(ResultException refusal) {
        closing = true;
        server.environment()
                .observer()
                .refusedBeforeDecoding(refusal.code(), refusal.getMessage(), current != null);
        finalRefusal = refusal;
        if (current == null) {
            writeFinalRefusal();
        }
    }

    private void writeFinalRefusal() {
        final FullHttpResponse response = ClientExchange.refusal(finalRefusal);
        HttpUtil.setKeepAlive(response, false);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
