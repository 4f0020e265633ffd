package org.crocushaven.bench.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Passes each request of one connection to the handler as an {@link Exchange}.
 *
 * <p>Requests must not be pipelined: only the latest exchange is notified when the connection
 * closes.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ExchangeHandler handler;
    private Exchange latestExchange;

    ConnectionHandler(ExchangeHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        latestExchange = Exchange.of(context.channel(), request);
        handler.handle(latestExchange);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (latestExchange != null) {
            latestExchange.connectionClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
