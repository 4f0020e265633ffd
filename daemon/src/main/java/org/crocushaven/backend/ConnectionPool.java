package org.crocushaven.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.outbound.AnswerDecoder;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * The open connections to one incarnation of one backend server.
 *
 * <p>Servers close idle connections, often after five seconds, and a request that is sent while the
 * server closes the connection has an unknown outcome. Therefore connections that have been idle
 * for four seconds are not reused, and each request that must not be repeated gets a new
 * connection, which is closed afterwards.
 */
final class ConnectionPool {
    private static final int MAXIMUM_SEARCHED_CONNECTIONS = 16;
    private static final long MAXIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final BackendServer server;
    private final BackendClientLimits limits;
    private final NanoClock clock;
    private final Consumer<ConnectionPool> onEmpty;
    private final EventLoopGroup group;
    private final Bootstrap bootstrap;
    private final ConcurrentLinkedDeque<BackendConnection> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger openCount = new AtomicInteger();
    private volatile boolean closed;

    private ConnectionPool(
            BackendServer server,
            EventLoopGroup group,
            BackendClientLimits limits,
            NanoClock clock,
            Consumer<ConnectionPool> onEmpty) {
        this.server = server;
        this.limits = limits;
        this.clock = clock;
        this.onEmpty = onEmpty;
        this.group = group;
        this.bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, ByteBufAllocator.DEFAULT)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis())
                        .remoteAddress(server.host(), server.port())
                        .handler(new Initializer());
    }

    /**
     * Returns a pool without connections.
     *
     * @param onEmpty called each time the last connection has closed
     */
    static ConnectionPool of(
            BackendServer server,
            EventLoopGroup group,
            BackendClientLimits limits,
            NanoClock clock,
            Consumer<ConnectionPool> onEmpty) {
        return new ConnectionPool(server, group, limits, clock, onEmpty);
    }

    /** Returns the incarnation of the backend server to which the pool connects. */
    long incarnation() {
        return server.incarnation();
    }

    /** Returns the number of connections that are open or being opened. */
    int openConnections() {
        return openCount.get();
    }

    /** Starts the exchange on an idle connection, or on a new one if no idle one can be used. */
    void start(BackendExchange exchange) {
        final BackendConnection connection = exchange.needsNewConnection() ? null : takeIdle();
        if (connection != null) {
            connection.begin(exchange);
            return;
        }
        if (openCount.incrementAndGet() > limits.maximumConnectionsPerServer()) {
            openCount.decrementAndGet();
            exchange.failBeforeSending(
                    ResultException.of(ResultCode.BACKEND_SERVER_REFUSED, server.name()));
            return;
        }
        connect(exchange);
    }

    /** Returns an idle connection to the pool; if the pool is closed, closes the connection. */
    void release(BackendConnection connection) {
        if (closed) {
            connection.close();
        } else {
            idle.offerFirst(connection);
            closeOldestIfUnusable();
        }
    }

    /** Removes a closed connection; after the last one, reports the pool as empty. */
    void remove(BackendConnection connection) {
        idle.remove(connection);
        if (openCount.decrementAndGet() == 0) {
            onEmpty.accept(this);
        }
    }

    /** Closes the idle connections now and the others as soon as their answers are complete. */
    void close() {
        closed = true;
        BackendConnection connection = idle.pollFirst();
        while (connection != null) {
            connection.close();
            connection = idle.pollFirst();
        }
    }

    /**
     * Takes an idle connection, or returns null if there is none.
     *
     * <p>Connections on the calling event loop are preferred, which avoids a change of threads.
     */
    private BackendConnection takeIdle() {
        int searched = 0;
        for (final BackendConnection candidate : idle) {
            if (candidate.isOnCurrentEventLoop() && isUsable(candidate) && idle.remove(candidate)) {
                return candidate;
            }
            searched++;
            if (searched == MAXIMUM_SEARCHED_CONNECTIONS) {
                break;
            }
        }
        BackendConnection connection = idle.pollFirst();
        while (connection != null && !isUsable(connection)) {
            connection.close();
            connection = idle.pollFirst();
        }
        return connection;
    }

    private void closeOldestIfUnusable() {
        final BackendConnection oldest = idle.peekLast();
        if (oldest != null && !isUsable(oldest) && idle.removeLastOccurrence(oldest)) {
            oldest.close();
        }
    }

    private boolean isUsable(BackendConnection connection) {
        return connection.isActive()
                && clock.nanoTime() - connection.idleSinceNanos() < MAXIMUM_IDLE_NANOS;
    }

    private void connect(BackendExchange exchange) {
        final ChannelFuture connecting = bootstrapForCurrentThread().connect();
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connecting
                                .channel()
                                .pipeline()
                                .get(BackendConnection.class)
                                .begin(exchange);
                    } else {
                        openCount.decrementAndGet();
                        exchange.failBeforeSending(
                                AnswerHeaders.serverFailure(server.name(), "it cannot be reached")
                                        .withExecution(Execution.NOT_RUN));
                    }
                });
    }

    private Bootstrap bootstrapForCurrentThread() {
        for (final EventExecutor executor : group) {
            if (executor.inEventLoop() && executor instanceof EventLoop loop) {
                return bootstrap.clone(loop);
            }
        }
        return bootstrap;
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            final AnswerDecoder decoder = AnswerDecoder.of(limits.maximumHeaderBytes());
            channel.pipeline()
                    .addLast(decoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(new BackendConnection(ConnectionPool.this, channel, decoder, clock));
        }
    }
}
