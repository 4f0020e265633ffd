package org.crocushaven.network;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Listens on a TCP socket. */
public final class Listener implements AutoCloseable {
    private static final int BACKLOG = 1_024;

    private final Channel channel;

    private Listener(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts listening.
     *
     * @param group runs the socket and its accepted connections
     * @param connections initialises each accepted connection
     * @throws ResultException when the address cannot be bound
     */
    public static Listener bind(
            EventLoopGroup group, InetSocketAddress address, ChannelHandler connections) {
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(connections)
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw ResultException.of(
                    ResultCode.ADDRESS_IN_USE, address, bound.cause().getMessage());
        }
        return new Listener(bound.channel());
    }

    /** Returns the bound address, with the assigned port if port 0 was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Starts closing the socket; the action runs on its event loop once it is closed. */
    public void closeThen(Runnable action) {
        channel.close().addListener(closed -> action.run());
    }

    /** Closes the socket; accepted connections stay open. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
