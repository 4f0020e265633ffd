package org.crocushaven.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.network.Listener;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends messages between instances over TCP.
 *
 * <p>Handlers run on the event loop of the connection, in order of arrival, and must not block.
 * Messages that an instance sends to itself use no connection; they are handled in order on one
 * event loop.
 */
public final class TcpPeerTransport implements PeerTransport, AutoCloseable {
    public static final int CONNECT_TIMEOUT_MILLIS = 500;
    public static final int MAXIMUM_PENDING_BYTES = 32 << 20;

    private final Hello hello;
    private final EventLoopGroup workers;
    private final Executor selfExecutor;
    private final PeerAddresses addresses;
    private final ProtocolListener listener;
    private final NanoClock clock;
    private final HandlerRegistry handlers = new HandlerRegistry();
    private final PendingRequests pending = new PendingRequests();
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private volatile Listener listeningSocket;

    private TcpPeerTransport(
            Hello hello,
            EventLoopGroup workers,
            PeerAddresses addresses,
            ProtocolListener listener,
            NanoClock clock) {
        this.hello = hello;
        this.workers = workers;
        this.selfExecutor = workers.next();
        this.addresses = addresses;
        this.listener = listener;
        this.clock = clock;
    }

    /** Creates a transport for the named instance, which does not listen yet. */
    public static TcpPeerTransport create(
            String instance,
            long incarnation,
            EventLoopGroup workers,
            PeerAddresses addresses,
            ProtocolListener listener,
            NanoClock clock) {
        return new TcpPeerTransport(
                new Hello(instance, incarnation), workers, addresses, listener, clock);
    }

    /** Starts listening and returns the port; port 0 selects a free port. */
    public int listen(String host, int port) {
        listeningSocket =
                Listener.bind(
                        workers,
                        new InetSocketAddress(host, port),
                        initializer(
                                () ->
                                        PeerConnection.accepted(
                                                handlers,
                                                pending,
                                                listener,
                                                this::greeted,
                                                clock)));
        return listeningSocket.address().getPort();
    }

    @Override
    public void send(String instance, Message message) {
        if (isSelf(instance)) {
            selfExecutor.execute(() -> dispatchToSelf(message));
        } else {
            link(instance).send(message);
        }
    }

    @Override
    public CompletableFuture<Message> request(String instance, Message message, Duration timeout) {
        final CompletableFuture<Message> answer = new CompletableFuture<>();
        final ScheduledFuture<?> timer =
                workers.next()
                        .schedule(
                                () ->
                                        answer.completeExceptionally(
                                                ResultException.of(
                                                        ResultCode.PEER_TIMEOUT,
                                                        instance,
                                                        timeout.toMillis())),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
        answer.whenComplete((ignored, failure) -> timer.cancel(false));
        if (isSelf(instance)) {
            selfExecutor.execute(() -> requestFromSelf(message, answer));
        } else {
            link(instance).request(message, answer);
        }
        return answer;
    }

    @Override
    public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
        handlers.register(type, handler);
    }

    /** Returns the number of bytes received from other instances since the start. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the number of bytes sent to other instances since the start. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    @Override
    public void close() {
        if (listeningSocket != null) {
            listeningSocket.close();
        }
        channels.close();
        links.values().forEach(PeerLink::close);
    }

    private boolean isSelf(String instance) {
        return instance.equals(hello.instance());
    }

    private void requestFromSelf(Message message, CompletableFuture<Message> answer) {
        final CompletableFuture<? extends Message> handled = dispatchToSelf(message);
        if (handled == null) {
            answer.completeExceptionally(
                    ResultException.of(ResultCode.FRAME_MALFORMED, "no answer exists"));
            return;
        }
        handled.whenComplete(
                (result, failure) -> {
                    if (failure == null) {
                        answer.complete(result);
                    } else {
                        answer.completeExceptionally(Failures.toResultException(failure));
                    }
                });
    }

    private CompletableFuture<? extends Message> dispatchToSelf(Message message) {
        try {
            return handlers.dispatch(hello.instance(), message);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private PeerLink link(String instance) {
        return links.computeIfAbsent(instance, this::createLink);
    }

    private PeerLink createLink(String instance) {
        final Bootstrap bootstrap =
                new Bootstrap()
                        .group(workers)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        MAXIMUM_PENDING_BYTES / 2, MAXIMUM_PENDING_BYTES))
                        .handler(
                                initializer(
                                        () ->
                                                PeerConnection.opened(
                                                        handlers,
                                                        pending,
                                                        listener,
                                                        this::greeted,
                                                        clock,
                                                        instance)));
        return new PeerLink(instance, bootstrap, addresses, hello, pending, clock);
    }

    private ChannelInitializer<Channel> initializer(Supplier<PeerConnection> connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                channel.pipeline()
                        .addLast(new FrameCodec(receivedBytes::add, sentBytes::add))
                        .addLast(connection.get());
            }
        };
    }

    private void greeted(String instance, long incarnation) {
        if (!isSelf(instance) && addresses.addressOf(instance).isPresent()) {
            link(instance).peerGreeted(incarnation);
        }
    }
}
