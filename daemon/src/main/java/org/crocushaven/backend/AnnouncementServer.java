package org.crocushaven.backend;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import org.crocushaven.network.BoundedHttpServer;
import org.crocushaven.result.ResultException;

/** Serves the announcements of backend servers over HTTP. */
public final class AnnouncementServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;
    private static final int MAXIMUM_CONNECTIONS = 4_096;
    private static final int IDLE_TIMEOUT_SECONDS = 75;

    private final BoundedHttpServer server;

    private AnnouncementServer(BoundedHttpServer server) {
        this.server = server;
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
        return new AnnouncementServer(
                BoundedHttpServer.start(
                        group,
                        address,
                        MAXIMUM_CONNECTIONS,
                        IDLE_TIMEOUT_SECONDS,
                        pipeline ->
                                pipeline.addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(new AnnouncementEndpoint(handler, instance))));
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
