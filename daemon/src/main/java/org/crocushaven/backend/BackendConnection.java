package org.crocushaven.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.outbound.AnswerDecoder;

/**
 * A connection to a backend server, which carries one exchange at a time.
 *
 * <p>Everything but {@link #begin}, {@link #close} and the getters runs on the connection's event
 * loop. Once a request has been sent, the connection returns to its pool only if the answer is
 * complete, no bytes follow it and the request was written completely; otherwise it is closed.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final ConnectionPool pool;
    private final Channel channel;
    private final AnswerDecoder decoder;
    private final NanoClock clock;
    private volatile long idleSinceNanos;
    private BackendExchange current;
    private boolean inInformationalResponse;
    private boolean reusable;
    private boolean releasePending;
    private boolean namesRequests;

    BackendConnection(
            ConnectionPool pool, Channel channel, AnswerDecoder decoder, NanoClock clock) {
        this.pool = pool;
        this.channel = channel;
        this.decoder = decoder;
        this.clock = clock;
    }

    /** Returns the time at which the connection last became idle, in nanoseconds of its clock. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /**
     * Returns whether the connection is open; a close by the backend server may not have been
     * detected yet.
     */
    boolean isActive() {
        return channel.isActive();
    }

    /** Returns whether the calling thread is that of the connection's event loop. */
    boolean isOnCurrentEventLoop() {
        return channel.eventLoop().inEventLoop();
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /** Returns the channel of the connection. */
    Channel channel() {
        return channel;
    }

    /** Sends the exchange's request; if this connection has closed, the pool uses another one. */
    void begin(BackendExchange exchange) {
        if (channel.eventLoop().inEventLoop()) {
            beginOnEventLoop(exchange);
        } else {
            channel.eventLoop().execute(() -> beginOnEventLoop(exchange));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.remove(this);
        if (current != null) {
            final BackendExchange lost = current;
            current = null;
            lost.handleConnectionLost();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (current != null) {
            final BackendExchange failed = current;
            current = null;
            failed.handleException(String.valueOf(cause.getMessage()));
        }
        context.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (releasePending) {
            releasePending = false;
            if (reusable && !decoder.hasUnreadBytes() && channel.isActive()) {
                channel.config().setAutoRead(true);
                idleSinceNanos = clock.nanoTime();
                pool.release(this);
            } else {
                context.close();
            }
        } else if (current == null && decoder.hasUnreadBytes()) {
            context.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (current == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            exceptionCaught(context, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (current != null && message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void beginOnEventLoop(BackendExchange exchange) {
        if (!channel.isActive()) {
            pool.start(exchange);
            return;
        }
        current = exchange;
        decoder.expectAnswer(exchange.isHeadRequest());
        if (!exchange.send(this)) {
            current = null;
            decoder.expectNoAnswer();
            idleSinceNanos = clock.nanoTime();
            pool.release(this);
        }
    }

    private void handleHead(HttpResponse response) {
        inInformationalResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (inInformationalResponse) {
            return;
        }
        final boolean selfDelimiting =
                HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response)
                        || decoder.isContentAlwaysEmpty(response);
        reusable = selfDelimiting && HttpUtil.isKeepAlive(response);
        if (!isAwaited(response)) {
            current.handleException("its answer names no request, though others did");
            current = null;
            close();
        } else if (!current.handleHead(response, selfDelimiting)) {
            current = null;
            close();
        }
    }

    /**
     * Returns whether an answer may be the one that is due. Where answers have named their requests
     * before, a success that names none may be a late copy of any of them.
     */
    private boolean isAwaited(HttpResponse response) {
        if (response.headers().contains(AnswerHeaders.REQUEST_ID)) {
            namesRequests = true;
            return true;
        }
        return !namesRequests
                || current.isOrder()
                || !AnswerHeaders.isSuccess(response.status().code());
    }

    private void handleContent(HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (inInformationalResponse) {
            inInformationalResponse = !last;
            return;
        }
        final BackendExchange exchange = current;
        if (content.content().isReadable()) {
            final byte[] bytes = new byte[content.content().readableBytes()];
            content.content().readBytes(bytes);
            exchange.handleBody(bytes);
        }
        if (exchange.isFinished()) {
            current = null;
            close();
        } else if (last) {
            current = null;
            decoder.expectNoAnswer();
            reusable = reusable && exchange.isRequestWritten() && !exchange.needsNewConnection();
            releasePending = true;
            exchange.handleEnd();
        }
    }
}
