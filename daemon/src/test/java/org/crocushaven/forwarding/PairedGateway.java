package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.crocushaven.admission.ShareChange;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.Relay;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.outbound.ConnectionTry;

/** One gateway of a {@link GatewayPair}, which listens for clients. */
final class PairedGateway {
    static final String KEY = "key";
    static final KeyedOrganisation ORGANISATION =
            new KeyedOrganisation(
                    "first", List.of(KEY), OptionalInt.empty(), false, 1, 1, 1, List.of());
    private static final int PROBE_TIMEOUT_MILLIS = 200;
    private static final long LEADER_AWAY_MILLIS = 700;

    private final String name;
    private final EventLoop loop;
    private final int port;
    private final GatewayBackends view = new GatewayBackends(new Random(1));
    private final Relays relays = new Relays();
    private final SingleVersionLeader leader = new SingleVersionLeader();
    private final ForwardingEnvironment environment;
    private final IngressServer server;
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
                                        ForwardingEnvironmentBuilder.of(loop, configuration, leader)
                                                .dialect(new ConnectionDialect())
                                                .view(view)
                                                .relays(relays)
                                                .prober(this::open)
                                                .retryBudget(0, 100)
                                                .admission(PairedGateway::admission)
                                                .observer(new Recorder())
                                                .build())
                        .get();
        loop.scheduleAtFixedRate(
                () -> environment.probes().look(view.records(), view.awaited()),
                PathProbes.INTERVAL_MILLIS,
                PathProbes.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        server = new IngressServer(environment);
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private void open(BackendRecord backend, Consumer<Boolean> then) {
        ConnectionTry.open(
                loop,
                new InetSocketAddress(backend.host(), backend.port()),
                PROBE_TIMEOUT_MILLIS,
                finding -> then.accept(finding == ConnectionTry.Finding.REACHED));
    }

    /** Grants one request, which is not refilled during a test. */
    private static KeyedAdmission admission(ControlFreshness freshness) {
        final KeyedAdmission admission = KeyedAdmission.of(freshness, 1);
        final long nowNanos = System.nanoTime();
        final long report = admission.report(nowNanos).reportSequence();
        final ShareChange share = new ShareChange(ORGANISATION.name(), 0, 1, 1, 1, 1, 0, 0);
        admission.apply(
                new ShareGrant(1, 1, 1, report, TimeUnit.MINUTES.toNanos(1), 1, List.of(share)),
                nowNanos);
        return admission;
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
                                        System.nanoTime(),
                                        System.nanoTime()))
                .get();
    }

    /** Lets this gateway know of another one. */
    void introduce(PairedGateway other) throws Exception {
        know(List.of(relayAt(other.name(), other.port())));
    }

    /** Lets this gateway know of stand-ins for other gateways alone. */
    void introduce(StandInServer... others) throws Exception {
        know(Arrays.stream(others).map(other -> relayAt(other.name(), other.port())).toList());
    }

    private static Relay relayAt(String gateway, int port) {
        return new Relay(gateway, "127.0.0.1:" + port, List.of(), "a");
    }

    private void know(List<Relay> others) throws Exception {
        loop.submit(() -> relays.apply(others)).get();
    }

    /** Lets this gateway know only of another one, at the given port. */
    void introduceAt(int otherPort) throws Exception {
        final Relay other = new Relay("another", "127.0.0.1:" + otherPort, List.of(), "a");
        loop.submit(() -> relays.apply(List.of(other))).get();
    }

    /** Lets this gateway know only of another one that reaches the service no more than it does. */
    void knowOnlyAnotherWithoutPaths() throws Exception {
        final Relay other =
                new Relay("another", "127.0.0.1:" + port, List.of(GatewayPair.SERVICE), "a");
        know(List.of(other));
    }

    /** Lets the leader answer no report any more, for long enough that this is known. */
    void loseLeader() throws Exception {
        loop.submit(leader::lose).get();
        passOnLoop(LEADER_AWAY_MILLIS);
    }

    /** Waits until a path of this gateway is closed. */
    void awaitClosedPaths() throws Exception {
        while (!hasClosedPaths()) {
            passOnLoop(PathProbes.INTERVAL_MILLIS);
        }
    }

    /** Waits until timers of the given delay have run on the event loop. */
    void passOnLoop(long millis) throws Exception {
        loop.schedule(() -> {}, millis, TimeUnit.MILLISECONDS).get();
    }

    boolean hasClosedPaths() throws Exception {
        return loop.submit(() -> environment.paths().isAnyClosed()).get();
    }

    /** Closes all connections of clients at once, as the end of the process does. */
    void breakClientsOff() throws Exception {
        loop.submit(server::closeAll).get();
    }

    /** Sends a request of a client. */
    PairClient send(String requestId) throws Exception {
        return PairClient.send(port, requestId);
    }

    /** Returns how the next request of this gateway ended. */
    ForwardingSummary awaitEnd() throws InterruptedException {
        return ended.poll(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class Recorder extends IgnoringObserver {
        @Override
        public void ended(ForwardingSummary summary) {
            ended.add(summary);
        }
    }
}
