package org.crocushaven.network;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Listens for HTTP/1.1 connections, bounds their number and closes idle ones. */
public final class BoundedHttpServer implements AutoCloseable {
    private final ChannelGroup connections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final int maximumConnections;
    private final int idleTimeoutSeconds;
    private final Consumer<ChannelPipeline> handlers;
    private final Listener listener;

    private BoundedHttpServer(
            EventLoopGroup group,
            InetSocketAddress address,
            int maximumConnections,
            int idleTimeoutSeconds,
            Consumer<ChannelPipeline> handlers) {
        this.maximumConnections = maximumConnections;
        this.idleTimeoutSeconds = idleTimeoutSeconds;
        this.handlers = handlers;
        this.listener = Listener.bind(group, address, new Initializer());
    }

    /**
     * Starts a server.
     *
     * @param maximumConnections number of open connections from which on new ones are closed
     * @param handlers adds the handlers of a connection after the HTTP codec
     * @throws org.crocushaven.result.ResultException if the address cannot be bound
     */
    public static BoundedHttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            int maximumConnections,
            int idleTimeoutSeconds,
            Consumer<ChannelPipeline> handlers) {
        return new BoundedHttpServer(
                group, address, maximumConnections, idleTimeoutSeconds, handlers);
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Closes the listening socket and every connection. */
    @Override
    public void close() {
        listener.close();
        connections.close();
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (connections.size() >= maximumConnections) {
                channel.close();
                return;
            }
            connections.add(channel);
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(idleTimeoutSeconds))
                    .addLast(new HttpServerCodec());
            handlers.accept(channel.pipeline());
        }
    }
}
