package org.crocushaven.outbound;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Pools idle connections to backend servers. Used on one event loop only. */
public final class BackendPool {
    /**
     * Connection timeout; a longer wait is not worthwhile, because the opening packet is probably
     * lost.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /**
     * Margin by which the keep-alive time is shortened, so that a connection is not reused when the
     * backend server may be closing it.
     */
    private static final long CLOSING_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Addresses with a silent connection after which all idle connections are closed. */
    private static final int DISTRUSTED_ADDRESSES = 3;

    private static final long DISTRUST_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final NanoClock clock;
    private final Map<InetSocketAddress, Deque<BackendChannel>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Long> distrusted = new HashMap<>();
    private final AnswerMemory answerMemory = new AnswerMemory();
    private long connections;

    private BackendPool(EventLoop loop, NanoClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Returns an empty pool. */
    public static BackendPool create(EventLoop loop, NanoClock clock) {
        return new BackendPool(loop, clock);
    }

    /** Returns the memory of the answers that come on the connections. */
    public AnswerMemory answerMemory() {
        return answerMemory;
    }

    /**
     * Returns a connection that carries no request, and that has not carried this one before.
     *
     * @param identifier identifier of the request that is to be sent
     * @param freshOnly whether to reuse only connections that have been idle for less than half of
     *     the usable keep-alive time, for requests that must not be lost on a connection that the
     *     backend server is closing
     */
    public CompletableFuture<BackendChannel> acquire(
            InetSocketAddress address, String identifier, boolean freshOnly) {
        final BackendChannel idleChannel = takeIdle(address, identifier, freshOnly);
        return idleChannel == null
                ? connect(address)
                : CompletableFuture.completedFuture(idleChannel);
    }

    /** Returns whether a connection to an address can be used again. */
    public boolean hasIdle(InetSocketAddress address) {
        final long nowNanos = clock.nanoTime();
        return idle.getOrDefault(address, new ArrayDeque<>()).stream()
                .anyMatch(channel -> isUsable(channel, false, nowNanos));
    }

    /**
     * Closes the idle connections to an address, since one of them was silent: what happened to one
     * may have happened to all. When several addresses are silent soon after one another, it may
     * have happened to the idle connections of all addresses.
     */
    public void distrustIdle(InetSocketAddress address) {
        final long nowNanos = clock.nanoTime();
        distrusted.values().removeIf(since -> nowNanos - since >= DISTRUST_NANOS);
        distrusted.put(address, nowNanos);
        if (distrusted.size() >= DISTRUSTED_ADDRESSES) {
            idle.values().forEach(channels -> channels.forEach(BackendChannel::close));
            idle.clear();
        } else {
            idle.getOrDefault(address, new ArrayDeque<>()).forEach(BackendChannel::close);
            idle.remove(address);
        }
    }

    /** Closes idle connections that backend servers are about to close. */
    public void closeExpired() {
        final long nowNanos = clock.nanoTime();
        final Iterator<Deque<BackendChannel>> deques = idle.values().iterator();
        while (deques.hasNext()) {
            final Deque<BackendChannel> deque = deques.next();
            deque.removeIf(
                    channel -> {
                        final boolean expired = !isUsable(channel, false, nowNanos);
                        if (expired) {
                            channel.close();
                        }
                        return expired;
                    });
            if (deque.isEmpty()) {
                deques.remove();
            }
        }
    }

    /** Takes the connection that was used last of those that may carry the request. */
    private BackendChannel takeIdle(
            InetSocketAddress address, String identifier, boolean freshOnly) {
        final Iterator<BackendChannel> newestFirst =
                idle.getOrDefault(address, new ArrayDeque<>()).descendingIterator();
        final long nowNanos = clock.nanoTime();
        while (newestFirst.hasNext()) {
            final BackendChannel channel = newestFirst.next();
            final boolean usable = isUsable(channel, freshOnly, nowNanos);
            if (usable && channel.hasCarried(identifier)) {
                continue;
            }
            newestFirst.remove();
            if (usable) {
                return channel;
            }
            channel.close();
        }
        return null;
    }

    private static boolean isUsable(BackendChannel channel, boolean freshOnly, long nowNanos) {
        final long idleNanos = nowNanos - channel.idleSinceNanos();
        final long bound = channel.keepAliveNanos() - CLOSING_MARGIN_NANOS;
        return channel.isActive() && idleNanos < (freshOnly ? bound / 2 : bound);
    }

    /** Opens a connection for a request whose answer only its place can name. */
    public CompletableFuture<BackendChannel> connect(InetSocketAddress address) {
        final CompletableFuture<BackendChannel> opened = new CompletableFuture<>();
        final AnswerOverhead overhead = new AnswerOverhead();
        final AnswerDecoder decoder = AnswerDecoder.of(MAXIMUM_HEADER_BYTES);
        connections++;
        final BackendChannel handler =
                new BackendChannel(
                        connections,
                        clock,
                        overhead,
                        decoder,
                        channel -> release(address, channel));
        final Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(initializer(overhead, decoder, handler));
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture attempt) -> {
                            if (attempt.isSuccess()) {
                                opened.complete(handler);
                            } else {
                                opened.completeExceptionally(
                                        ResultException.of(
                                                        ResultCode.BACKEND_SERVER_FAILED,
                                                        address,
                                                        "no connection")
                                                .withExecution(Execution.NOT_RUN)
                                                .withCause(attempt.cause()));
                            }
                        });
        return opened;
    }

    private void release(InetSocketAddress address, BackendChannel channel) {
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(channel);
    }

    private static ChannelInitializer<Channel> initializer(
            AnswerOverhead overhead, AnswerDecoder decoder, BackendChannel handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(overhead)
                        .addLast(decoder)
                        .addLast(handler);
            }
        };
    }
}
