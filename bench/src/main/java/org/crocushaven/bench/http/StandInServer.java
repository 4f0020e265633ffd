package org.crocushaven.bench.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Serves HTTP/1.1 with all connections and the handler on one event loop. */
public final class StandInServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;
    private static final int BACKLOG_CONNECTIONS = 4_096;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ChannelGroup connections = new DefaultChannelGroup(group.next());
    private final Channel listener;

    private StandInServer(String host, int port, ExchangeHandler handler) {
        listener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(handler))
                        .bind(host, port)
                        .syncUninterruptibly()
                        .channel();
    }

    /** Starts a server; port 0 picks a free port. */
    public static StandInServer start(String host, int port, ExchangeHandler handler) {
        return new StandInServer(host, port, handler);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the event loop on which the handler runs. */
    public EventLoop eventLoop() {
        return listener.eventLoop();
    }

    /** Stops listening and closes every connection at once, as a crash would. */
    public void abort() {
        listener.close();
        connections.close();
    }

    @Override
    public void close() {
        abort();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private ChannelInitializer<Channel> initializer(ExchangeHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                connections.add(channel);
                channel.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new ConnectionHandler(handler));
            }
        };
    }
}
