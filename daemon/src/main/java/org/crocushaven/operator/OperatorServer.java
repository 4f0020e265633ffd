package org.crocushaven.operator;

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

/** Serves operators and the platform over HTTP. */
public final class OperatorServer implements AutoCloseable {
    /**
     * Maximum size of a request body; a publication of 39,000 adapters takes about a tenth of it.
     */
    public static final int MAXIMUM_BODY_BYTES = 64 << 20;

    private static final int MAXIMUM_CONNECTIONS = 256;
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    private final ChannelGroup connections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final OperatorKey key;
    private final OperatorRoutes routes;
    private final String instance;
    private Listener listener;

    private OperatorServer(OperatorEnvironment environment) {
        key = OperatorKey.ofHash(environment.operatorKeyHash());
        routes = OperatorRoutes.of(environment);
        instance = environment.instance();
    }

    /**
     * Starts a server.
     *
     * <p>Large publications are decoded and long lists are encoded on the event loops of the group,
     * so it should not be the group that serves callers.
     *
     * @throws ResultException if the address cannot be bound
     */
    public static OperatorServer start(
            EventLoopGroup group, InetSocketAddress address, OperatorEnvironment environment) {
        final OperatorServer server = new OperatorServer(environment);
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
                    .addLast(new OperatorRequestFilter(key, instance))
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new OperatorEndpoint(routes, instance));
        }
    }
}
