package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressConfiguration;

/** One gateway of a {@link GatewayPair}, which listens for clients. */
final class PairedGateway {
    private final String name;
    private final EventLoop loop;
    private final int port;
    private final GatewayBackends view = new GatewayBackends();
    private final ForwardingEnvironment environment;
    private final BlockingQueue<ForwardingSummary> ended = new LinkedBlockingQueue<>();
    private long revision;

    PairedGateway(
            String name, EventLoopGroup group, EventLoop loop, IngressConfiguration configuration)
            throws Exception {
        this.name = name;
        this.loop = loop;
        this.port = freePort();
        this.environment =
                loop.submit(
                                () ->
                                        ForwardingEnvironmentBuilder.of(
                                                        loop, configuration, new UnaskedLeader())
                                                .dialect(new PlainDialect())
                                                .view(view)
                                                .retryBudget(0, 100)
                                                .observer(new Recorder())
                                                .build())
                        .get();
        new IngressServer(environment)
                .listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    /** Applies the leader's records of all backend servers. */
    void announce(List<BackendRecord> records) throws Exception {
        loop.submit(
                        () ->
                                view.apply(
                                        GatewayUpdateBuilder.ofTerm(1)
                                                .completeAt(++revision, records)
                                                .build(),
                                        System.nanoTime()))
                .get();
    }

    /** Lets this gateway know of another one. */
    void introduce(PairedGateway other) throws Exception {}

    /** Sends a request of a client. */
    PairClient send(String requestId) throws Exception {
        return PairClient.send(port, requestId);
    }

    /** Returns how the next request of this gateway ended. */
    ForwardingSummary awaitEnd() throws InterruptedException {
        return ended.poll(
                ForwardingFixture.AWAIT_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private final class Recorder extends IgnoringObserver {
        @Override
        public void ended(ForwardingSummary summary) {
            ended.add(summary);
        }
    }
}
