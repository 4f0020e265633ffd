package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.RouteKind;

/**
 * Two gateways with the same backend servers, of which either may lose its ways to all of them: at
 * the addresses that it knows, connections are then refused or never answered.
 */
final class GatewayPair implements AutoCloseable {
    static final String SERVICE = "engines";
    private static final int SLOTS = 8;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<ServerSocket> sockets = new ArrayList<>();
    private final PairedGateway first;
    private final PairedGateway second;

    private GatewayPair(IngressConfiguration configuration, int serverCount) throws Exception {
        for (int number = 1; number <= serverCount; number++) {
            servers.add(StandInServer.start("server-" + number));
        }
        first = new PairedGateway("first", group, loop, configuration);
        second = new PairedGateway("second", group, loop, configuration);
        heal(first);
        heal(second);
        first.introduce(second);
        second.introduce(first);
    }

    /** Starts two gateways that know each other. */
    static GatewayPair start(RouteKind kind, int serverCount) throws Exception {
        return new GatewayPair(
                ChatRouteBuilder.to(SERVICE)
                        .kind(kind)
                        .attempts(2)
                        .resumable(kind == RouteKind.STREAM)
                        .configuration(),
                serverCount);
    }

    /** Starts two gateways of which each may spend one request of an organisation. */
    static GatewayPair startWithOneRequestEach(int serverCount) throws Exception {
        return new GatewayPair(
                ChatRouteBuilder.to(SERVICE)
                        .kind(RouteKind.IDEMPOTENT)
                        .attempts(2)
                        .open(false)
                        .configuration(List.of(PairedGateway.ORGANISATION)),
                serverCount);
    }

    PairedGateway first() {
        return first;
    }

    PairedGateway second() {
        return second;
    }

    /** Gives a gateway its ways to all backend servers. */
    void heal(PairedGateway gateway) throws Exception {
        announce(gateway, servers.stream().map(StandInServer::port).toList());
    }

    /** Lets all addresses refuse connections of a gateway. */
    void cutWithRefusals(PairedGateway gateway) throws Exception {
        final List<Integer> ports = new ArrayList<>();
        for (int number = 0; number < servers.size(); number++) {
            try (ServerSocket socket = open()) {
                ports.add(socket.getLocalPort());
            }
        }
        announce(gateway, ports);
    }

    /** Lets no address answer connections of a gateway. */
    void cutSilently(PairedGateway gateway) throws Exception {
        final List<Integer> ports = new ArrayList<>();
        for (int number = 0; number < servers.size(); number++) {
            final ServerSocket socket = open();
            sockets.add(socket);
            ports.add(socket.getLocalPort());
            fill(socket);
        }
        announce(gateway, ports);
    }

    /** Takes all places of a socket on which nothing accepts, so that it answers no more. */
    private void fill(ServerSocket socket) throws IOException {
        for (int connection = 0; connection < 4; connection++) {
            final java.net.Socket waiting = new java.net.Socket();
            try {
                waiting.connect(socket.getLocalSocketAddress(), 50);
            } catch (java.net.SocketTimeoutException full) {
                waiting.close();
                return;
            }
        }
    }

    private static ServerSocket open() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private void announce(PairedGateway gateway, List<Integer> ports) throws Exception {
        final List<BackendRecord> records = new ArrayList<>();
        for (int number = 0; number < ports.size(); number++) {
            records.add(
                    BackendRecordBuilder.of(servers.get(number).name(), SERVICE)
                            .atPort(ports.get(number))
                            .withSlots(SLOTS)
                            .running(SingleVersionLeader.VERSION)
                            .build());
        }
        gateway.announce(records);
    }

    /** Waits until a gateway has found all its paths open. */
    void awaitOpenPaths(PairedGateway gateway) throws Exception {
        final long startNanos = System.nanoTime();
        while (gateway.hasClosedPaths()) {
            if (System.nanoTime() - startNanos
                    > TimeUnit.MILLISECONDS.toNanos(ForwardingFixture.AWAIT_MILLIS)) {
                throw new AssertionError("paths stay closed");
            }
        }
    }

    /** Returns the next request that reaches any backend server. */
    StandInServer.Exchange awaitRequest() throws InterruptedException {
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos
                < TimeUnit.MILLISECONDS.toNanos(ForwardingFixture.AWAIT_MILLIS)) {
            for (final StandInServer server : servers) {
                if (server.hasRequest()) {
                    return server.awaitRequest();
                }
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no request reached any backend server");
    }

    /** Returns whether a request has reached a backend server that no test has taken. */
    boolean hasRequest() {
        return servers.stream().anyMatch(StandInServer::hasRequest);
    }

    @Override
    public void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        for (final StandInServer server : servers) {
            server.close();
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
    }
}
