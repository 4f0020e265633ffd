package org.crocushaven.instance;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.fleet.ControlDialect;
import org.crocushaven.fleet.ControlInstance;
import org.crocushaven.fleet.ControlServer;
import org.crocushaven.fleet.ControlSettings;
import org.crocushaven.forwarding.Gateway;
import org.crocushaven.forwarding.GatewaySettings;
import org.crocushaven.forwarding.IngressDialect;
import org.crocushaven.network.AggregatingHttpServer;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.TcpPeerTransport;
import org.crocushaven.result.ResultCode;
import org.tinylog.provider.ProviderRegistry;

/**
 * Runs a gateway or an instance with control state.
 *
 * <p>It has one event loop because its machine has one processor: the code that serves requests
 * shares no state with other threads and takes no locks.
 */
public final class Instance {
    /**
     * Maximum age of the control state for serving requests that carry a key, as a fraction of the
     * time within which a key withdrawal must take effect.
     */
    private static final double CONTROL_STATE_AGE_FRACTION = 0.8;

    /** Fraction of the stop grace time for finishing requests. */
    private static final double STOP_GRACE_FRACTION = 0.88;

    /**
     * Fraction of the stop grace time for clients to take the last answers; the rest is for ending
     * the process.
     */
    private static final double STOP_WRITE_FRACTION = 0.04;

    /** Fraction of the grace time within which an instance must have given its vote back. */
    private static final double STOP_LEAVE_FRACTION = 0.5;

    private final InstanceSettings settings;
    private final NanoClock clock = SystemNanoClock.INSTANCE;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TcpPeerTransport transport;
    private final ForwardingLog log = ForwardingLog.create();
    private Optional<Gateway> gateway = Optional.empty();
    private Optional<ControlInstance> control = Optional.empty();

    private Instance(InstanceSettings settings) {
        this.settings = settings;
        this.transport =
                TcpPeerTransport.create(
                        settings.host(),
                        SystemEpochClock.INSTANCE.time(),
                        group,
                        name -> Optional.of(new InetSocketAddress(name, settings.innerPort())),
                        Instance::connectionRefused,
                        clock);
    }

    /**
     * Starts an instance.
     *
     * @param ingressDialect format of the headers of clients and backend servers
     * @param controlDialect format of the calls of operators and backend servers
     */
    public static Instance start(
            InstanceSettings settings,
            IngressDialect ingressDialect,
            ControlDialect controlDialect) {
        final Instance instance = new Instance(settings);
        if (settings.role() == InstanceSettings.Role.GATEWAY) {
            instance.startGateway(ingressDialect, controlDialect);
        } else {
            instance.startControl(controlDialect);
        }
        instance.startMetrics();
        EventLine.of("started")
                .with("instance", settings.instance())
                .with("role", settings.role())
                .with("failure_domain", settings.failureDomain())
                .with("bootstrap", settings.bootstrap())
                .info();
        return instance;
    }

    /**
     * Applies changed settings to the running instance: adds new seeds, ignores all other changes.
     */
    public void reload(InstanceSettings changed) {
        EventLine.of("reloaded").with("seeds", String.join(",", changed.seeds())).info();
        gateway.ifPresent(running -> running.addControlInstances(changed.seedHosts()));
        control.ifPresent(running -> running.addControlInstances(changed.seedHosts()));
    }

    /** Stops gracefully: lets the requests in flight of a gateway finish within the grace time. */
    public void stop() {
        EventLine.of("stopping").with("instance", settings.instance()).info();
        final long graceMillis = (long) (settings.stopGraceMillis() * STOP_GRACE_FRACTION);
        final long writeMillis = (long) (settings.stopGraceMillis() * STOP_WRITE_FRACTION);
        gateway.ifPresent(
                running ->
                        await(running.stop(graceMillis, writeMillis), graceMillis + writeMillis));
        final long leaveMillis = (long) (settings.stopGraceMillis() * STOP_LEAVE_FRACTION);
        control.ifPresent(running -> stopControl(running, leaveMillis));
        transport.close();
        EventLine.of("stopped").with("instance", settings.instance()).info();
    }

    /** Writes all pending log lines and ends logging; nothing may be logged afterwards. */
    public static void flushLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void startGateway(IngressDialect ingressDialect, ControlDialect controlDialect) {
        final Gateway created =
                Gateway.create(
                        new GatewaySettings(
                                settings.host(),
                                settings.failureDomain(),
                                ingressAddress(),
                                (long)
                                        (settings.keyWithdrawalMillis()
                                                * CONTROL_STATE_AGE_FRACTION),
                                settings.retryRatio(),
                                settings.retryExtra(),
                                settings.regions()),
                        group,
                        transport,
                        ingressDialect,
                        controlDialect::decodeConfiguration,
                        log,
                        clock,
                        SystemEpochClock.INSTANCE);
        transport.listen(settings.host(), settings.innerPort());
        AggregatingHttpServer.listen(
                group, settings.readiness().orElseThrow(), request -> readiness(created));
        created.start(settings.ingress().orElseThrow(), settings.seedHosts());
        gateway = Optional.of(created);
    }

    private String ingressAddress() {
        final InetSocketAddress ingress = settings.ingress().orElseThrow();
        return ingress.getAddress().getHostAddress() + ':' + ingress.getPort();
    }

    private void startControl(ControlDialect dialect) {
        final boolean isInitialVoter =
                settings.bootstrap() && settings.seedHosts().contains(settings.host());
        final ControlInstance opened =
                ControlInstance.open(
                        new ControlSettings(
                                settings.host(),
                                settings.dataFolder().orElseThrow(),
                                isInitialVoter ? settings.seedHosts() : List.of(),
                                settings.toleratedInstances(),
                                settings.heartbeatMillis(),
                                settings.enginesCheckFences() ? 0 : settings.orderLeaseMillis(),
                                settings.rateSlack(),
                                settings.failureDomains()),
                        transport,
                        (EventLoop) group.next(),
                        dialect,
                        clock,
                        SystemEpochClock.INSTANCE,
                        clock.nanoTime() ^ settings.host().hashCode());
        transport.listen(settings.host(), settings.innerPort());
        ControlServer.listen(group, settings.control().orElseThrow(), opened, dialect);
        opened.start(settings.seedHosts());
        control = Optional.of(opened);
    }

    private void startMetrics() {
        if (settings.metricsPort() > 0) {
            AggregatingHttpServer.listen(
                    group,
                    new InetSocketAddress(settings.host(), settings.metricsPort()),
                    this::metrics);
        }
    }

    private static CompletableFuture<FullHttpResponse> readiness(Gateway gateway) {
        return answer(
                gateway.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                "text/plain",
                gateway.isReady() ? "ready\n" : "not ready\n");
    }

    private CompletableFuture<FullHttpResponse> metrics(FullHttpRequest request) {
        return answer(HttpResponseStatus.OK, log.metricsMediaType(), log.metrics());
    }

    private static CompletableFuture<FullHttpResponse> answer(
            HttpResponseStatus status, String mediaType, String text) {
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, mediaType);
        return CompletableFuture.completedFuture(response);
    }

    private static void stopControl(ControlInstance control, long leaveMillis) {
        await(control.giveVoteBack(leaveMillis), leaveMillis);
        control.close();
    }

    private static void await(CompletableFuture<Void> future, long millis) {
        try {
            future.get(millis + TimeUnit.SECONDS.toMillis(1), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException failure) {
            EventLine.fault(failure).warn();
        }
    }

    private static void connectionRefused(String peer, ResultCode code, String detail) {
        EventLine.of("connection-refused")
                .with("peer", peer)
                .with("code", code.number())
                .with("detail", detail)
                .warn();
    }
}
