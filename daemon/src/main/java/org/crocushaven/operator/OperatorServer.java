package org.crocushaven.operator;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import org.crocushaven.network.BoundedHttpServer;
import org.crocushaven.result.ResultException;

/** Serves operators and the platform over HTTP. */
public final class OperatorServer implements AutoCloseable {
    /**
     * Maximum size of a request body; a publication of 39,000 adapters takes about a tenth of it.
     */
    public static final int MAXIMUM_BODY_BYTES = 64 << 20;

    private static final int MAXIMUM_CONNECTIONS = 256;
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    private final BoundedHttpServer server;

    private OperatorServer(BoundedHttpServer server) {
        this.server = server;
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
        final OperatorKey key = OperatorKey.ofHash(environment.operatorKeyHash());
        final OperatorRoutes routes = OperatorRoutes.of(environment);
        final String instance = environment.instance();
        return new OperatorServer(
                BoundedHttpServer.start(
                        group,
                        address,
                        MAXIMUM_CONNECTIONS,
                        IDLE_TIMEOUT_SECONDS,
                        pipeline ->
                                pipeline.addLast(new OperatorRequestFilter(key, instance))
                                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(new OperatorEndpoint(routes, instance))));
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Closes the listening socket and every connection. */
    @Override
    public void close() {
        server.close();
    }
}
