package org.crocushaven.forwarding;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.network.Listener;
import org.crocushaven.observability.GuardedTask;

/** Accepts client connections. Used on one event loop only. */
final class IngressServer {
    private final ForwardingEnvironment environment;
    private final Set<IngressConnection> connections = new HashSet<>();
    private Listener listener;
    private boolean stopping;
    private long refuseAtNanos;

    IngressServer(ForwardingEnvironment environment) {
        this.environment = environment;
    }

    /** Starts listening. */
    void listen(EventLoopGroup group, InetSocketAddress address) {
        listener =
                Listener.bind(
                        group,
                        address,
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                addConnection(channel);
                            }
                        });
    }

    ForwardingEnvironment environment() {
        return environment;
    }

    boolean isStopping() {
        return stopping;
    }

    /**
     * Makes each connection close after its next answer, and refuse new requests, which other
     * gateways can serve, after a time: also where a busy event loop runs a timer late.
     */
    void startStopping(long refuseAfterMillis) {
        stopping = true;
        refuseAtNanos = environment.nowNanos() + TimeUnit.MILLISECONDS.toNanos(refuseAfterMillis);
    }

    /** Returns whether new requests are refused. */
    boolean isRefusing() {
        return stopping && environment.nowNanos() - refuseAtNanos >= 0;
    }

    /** Closes idle connections and returns whether no busy connection is left. */
    boolean closeIdle() {
        boolean busy = false;
        for (final IngressConnection connection : List.copyOf(connections)) {
            if (connection.isBusy()) {
                busy = true;
            } else {
                connection.channel().close();
            }
        }
        return !busy;
    }

    /** Ends all requests under way; those that arrive later must be refused. */
    void endRequests() {
        List.copyOf(connections)
                .forEach(connection -> GuardedTask.of(connection::endRequest).run());
    }

    /** Closes all connections at once. */
    void closeAll() {
        List.copyOf(connections).forEach(connection -> connection.channel().close());
    }

    /** Reports what is left of the connections that are busy. */
    void reportUnfinished() {
        connections.forEach(IngressConnection::reportUnfinished);
    }

    /** Stops accepting connections. */
    void closeListener() {
        listener.closeThen(() -> {});
    }

    /** Closes connections whose clients are too slow or have been idle for too long. */
    void checkAllTimeouts() {
        final long nowNanos = environment.nowNanos();
        for (final IngressConnection connection : List.copyOf(connections)) {
            GuardedTask.of(() -> connection.checkTimeouts(nowNanos)).run();
        }
    }

    void removeConnection(IngressConnection connection) {
        connections.remove(connection);
    }

    private void addConnection(Channel channel) {
        final LimitsInForce limits = LimitsInForce.of(this::limits);
        final ReadActivityHandler activity = new ReadActivityHandler(environment.clock());
        final IngressConnection connection = new IngressConnection(this, activity, limits);
        connections.add(connection);
        channel.pipeline()
                .addLast(activity)
                .addLast(limits)
                .addLast(limits.decoder())
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    private IngressLimits limits() {
        return environment
                .configuration()
                .current()
                .map(IngressConfiguration::limits)
                .orElse(IngressLimits.DEFAULT);
    }
}
