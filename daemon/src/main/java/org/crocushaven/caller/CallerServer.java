package org.crocushaven.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.crocushaven.network.Listener;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.result.ResultException;

/** Accepts callers' connections and enforces the limits that all connections share. */
public final class CallerServer implements AutoCloseable {

    /** Time within which callers may take the answers that end their requests. */
    public static final long ANSWER_TAKING_MILLIS = 300;

    /**
     * Delay between closing the listening socket and checking whether connections are left, so that
     * connections accepted before are registered.
     */
    private static final long REGISTRATION_GRACE_MILLIS = 100;

    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 100;
    private static final long MINIMUM_BODY_BUDGET_BYTES = 16L << 20;
    private static final int BODY_BUDGET_HEAP_DIVISOR = 4;

    private final EventLoopGroup group;
    private final CallerEnvironment environment;
    private final RequestIdentifiers identifiers;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong reservedBytes = new AtomicLong();
    private final long bodyBudgetBytes;
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private Listener listener;
    private ScheduledFuture<?> timeoutChecker;
    private volatile boolean stopping;
    private volatile boolean registrationEnded;

    private CallerServer(EventLoopGroup group, CallerEnvironment environment) {
        this.group = group;
        this.environment = environment;
        this.identifiers =
                RequestIdentifiers.of(environment.instance(), environment.epochClock().time());
        this.bodyBudgetBytes =
                Math.max(
                        MINIMUM_BODY_BUDGET_BYTES,
                        Runtime.getRuntime().maxMemory() / BODY_BUDGET_HEAP_DIVISOR);
    }

    /**
     * Starts a server that listens on the given address.
     *
     * @throws ResultException if the address cannot be bound
     */
    public static CallerServer start(
            EventLoopGroup group, InetSocketAddress address, CallerEnvironment environment) {
        final CallerServer server = new CallerServer(group, environment);
        server.listen(address);
        return server;
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of bytes reserved for request bodies. */
    public long reservedBodyBytes() {
        return reservedBytes.get();
    }

    /**
     * Stops accepting connections. Requests that still arrive on open connections are served, and
     * their answers contain {@code Connection: close}; connections without a request are closed
     * after a grace period.
     */
    public void stopAccepting() {
        stopping = true;
        listener.closeThen(
                () -> {
                    connections.forEach(CallerConnection::stop);
                    group.next()
                            .schedule(
                                    this::endRegistration,
                                    REGISTRATION_GRACE_MILLIS,
                                    TimeUnit.MILLISECONDS);
                });
    }

    /** Returns a future that completes when no connection is left after {@link #stopAccepting}. */
    public CompletableFuture<Void> whenIdle() {
        return idle.copy();
    }

    /**
     * Answers the requests that are still in progress and closes their connections; to be called
     * after {@link #stopAccepting}, when the grace period has passed.
     */
    public void endRequests() {
        connections.forEach(CallerConnection::endForStop);
    }

    /**
     * Closes the listening socket and all connections. Requests in progress are answered first;
     * callers that do not take their answers in a short time are cut off.
     */
    @Override
    public void close() {
        stopAccepting();
        timeoutChecker.cancel(false);
        endRequests();
        group.next()
                .schedule(
                        () -> connections.forEach(CallerConnection::close),
                        ANSWER_TAKING_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    CallerEnvironment environment() {
        return environment;
    }

    RequestIdentifiers identifiers() {
        return identifiers;
    }

    boolean isStopping() {
        return stopping;
    }

    /**
     * Registers a connection and returns whether the number of connections is within the limit. A
     * connection above the limit stays registered until it is closed.
     */
    boolean register(CallerConnection connection) {
        connections.add(connection);
        return connections.size() <= environment.limits().maximumConnections();
    }

    /** Removes a closed connection. */
    void unregister(CallerConnection connection) {
        connections.remove(connection);
        completeWhenIdle();
    }

    /** Reserves memory for a request body; returns false if the budget would be exceeded. */
    boolean reserveBodyBytes(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= bodyBudgetBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Releases memory reserved for a request body. */
    void releaseBodyBytes(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    private void listen(InetSocketAddress address) {
        listener = Listener.bind(group, address, new ConnectionInitializer());
        timeoutChecker =
                group.next()
                        .scheduleAtFixedRate(
                                GuardedTask.of(this::checkTimeouts),
                                TIMEOUT_CHECK_INTERVAL_MILLIS,
                                TIMEOUT_CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    private void checkTimeouts() {
        final long now = environment.nanoClock().nanoTime();
        for (final CallerConnection connection : connections) {
            connection.checkTimeouts(now);
        }
    }

    private void endRegistration() {
        registrationEnded = true;
        completeWhenIdle();
    }

    private void completeWhenIdle() {
        if (registrationEnded && connections.isEmpty()) {
            timeoutChecker.cancel(false);
            idle.complete(null);
        }
    }

    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            final CallerEncoder encoder = new CallerEncoder();
            final CallerConnection connection =
                    new CallerConnection(CallerServer.this, channel, encoder);
            channel.pipeline()
                    .addLast(
                            new CallerDecoder(
                                    environment.limits().maximumHeaderBytes(),
                                    connection::handleBytesReceived))
                    .addLast(encoder)
                    .addLast(connection);
        }
    }
}
