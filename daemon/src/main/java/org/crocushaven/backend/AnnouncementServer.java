package org.crocushaven.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.crocushaven.network.Listener;
import org.crocushaven.result.ResultException;

/** Serves the announcements of backend servers over HTTP. */
public final class AnnouncementServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;
    private static final int MAXIMUM_CONNECTIONS = 4_096;
    private static final int IDLE_TIMEOUT_SECONDS = 75;

    private final ChannelGroup connections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AnnouncementHandler handler;
    private final String instance;
    private Listener listener;

    private AnnouncementServer(AnnouncementHandler handler, String instance) {
        this.handler = handler;
        this.instance = instance;
    }

    /**
     * Starts a server.
     *
     * @param handler receives the announcements; is called on event loops and must not block
     * @throws ResultException if the address cannot be bound
     */
    public static AnnouncementServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            AnnouncementHandler handler,
            String instance) {
        final AnnouncementServer server = new AnnouncementServer(handler, instance);
        server.listener = Listener.bind(group, address, server.new Initializer());
        return server;
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
            if (connections.size() >= MAXIMUM_CONNECTIONS) {
                channel.close();
                return;
            }
            connections.add(channel);
            channel.pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new AnnouncementEndpoint(handler, instance));
        }
    }
}
