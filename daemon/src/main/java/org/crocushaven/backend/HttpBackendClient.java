package org.crocushaven.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultException;

/**
 * Sends requests and orders to model engines and plain services over pooled HTTP/1.1 connections.
 *
 * <p>A backend server with adapter slots is treated as a model engine. Listeners are called on
 * event loops and must not block.
 */
public final class HttpBackendClient implements BackendClient, AutoCloseable {
    private static final ObjectMapper JSON =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private static final Map<String, List<String>> JSON_CONTENT =
            Map.of("content-type", List.of("application/json"));
    private static final long CANCEL_TIMEOUT_MILLIS = 2_000;
    private static final int ORDER_URGENCY = 0;

    private final EventLoopGroup group;
    private final BackendClientLimits limits;
    private final Map<String, ConnectionPool> pools = new ConcurrentHashMap<>();
    private final AtomicLong orderCount = new AtomicLong();

    private HttpBackendClient(EventLoopGroup group, BackendClientLimits limits) {
        this.group = group;
        this.limits = limits;
    }

    /** Returns a client whose connections run on the given event loops. */
    public static HttpBackendClient of(EventLoopGroup group, BackendClientLimits limits) {
        return new HttpBackendClient(group, limits);
    }

    @Override
    public BackendCall send(
            BackendServer server, BackendRequest request, BackendListener listener) {
        if (server.adapterSlots() == 0) {
            final AnswerRule rule = new ServiceAnswerRule(server.name(), request.requestId());
            return start(server, request, rule, listener, () -> {});
        }
        final String model =
                request.version()
                        .map(AdapterVersion::toString)
                        .or(() -> ModelField.read(request.body()))
                        .orElse("");
        final BackendRequest engineRequest =
                request.version().isPresent() ? withModel(request, model) : request;
        return start(
                server,
                engineRequest,
                new EngineAnswerRule(server.name(), model, request.requestId()),
                listener,
                () -> sendCancelOrder(server, request.requestId()));
    }

    @Override
    public CompletableFuture<Void> load(
            BackendServer server, AdapterVersion version, long fencingNumber) {
        return order(server, "/orders/load", version, fencingNumber);
    }

    @Override
    public CompletableFuture<Void> unload(
            BackendServer server, AdapterVersion version, long fencingNumber) {
        return order(server, "/orders/unload", version, fencingNumber);
    }

    /** Closes every idle connection now, and the others as soon as their answers are complete. */
    @Override
    public void close() {
        pools.values().forEach(ConnectionPool::close);
    }

    private CompletableFuture<Void> order(
            BackendServer server, String path, AdapterVersion version, long fencingNumber) {
        final CompletableFuture<Void> done = new CompletableFuture<>();
        start(
                server,
                orderRequest(path, encode(Order.of(version, fencingNumber)), orderTimeout()),
                new OrderAnswerRule(server.name(), version, fencingNumber),
                new OrderListener(done),
                () -> {});
        return done;
    }

    private void sendCancelOrder(BackendServer server, String requestId) {
        start(
                server,
                orderRequest(
                        "/orders/cancel", encode(new Cancel(requestId)), CANCEL_TIMEOUT_MILLIS),
                new ServiceAnswerRule(server.name(), requestId),
                new OrderListener(new CompletableFuture<>()),
                () -> {});
    }

    private BackendCall start(
            BackendServer server,
            BackendRequest request,
            AnswerRule rule,
            BackendListener listener,
            Runnable sendCancelOrder) {
        final BackendExchange exchange =
                new BackendExchange(server, request, rule, listener, limits, sendCancelOrder);
        pool(server).start(exchange);
        return exchange;
    }

    private ConnectionPool pool(BackendServer server) {
        final String address = server.host() + ":" + server.port();
        final ConnectionPool known = pools.get(address);
        if (known != null && known.incarnation() >= server.incarnation()) {
            return known;
        }
        final ConnectionPool created =
                ConnectionPool.of(
                        server,
                        group,
                        limits,
                        SystemNanoClock.INSTANCE,
                        pool -> removePool(address, pool));
        final ConnectionPool chosen =
                pools.merge(
                        address,
                        created,
                        (old, fresh) -> old.incarnation() >= fresh.incarnation() ? old : fresh);
        if (chosen == created && known != null) {
            known.close();
        }
        return chosen;
    }

    /**
     * Removes a pool that has no connections left. An exchange that has already chosen the pool
     * still runs on it, and its connection is closed afterwards.
     */
    private void removePool(String address, ConnectionPool pool) {
        pools.remove(address, pool);
        pool.close();
    }

    private BackendRequest orderRequest(String path, byte[] body, long timeoutMillis) {
        return new BackendRequest(
                "order-" + orderCount.incrementAndGet(),
                "POST",
                path,
                JSON_CONTENT,
                body,
                Optional.empty(),
                timeoutMillis,
                ORDER_URGENCY);
    }

    private long orderTimeout() {
        return limits.orderTimeoutMillis();
    }

    private static BackendRequest withModel(BackendRequest request, String model) {
        return new BackendRequest(
                request.requestId(),
                request.method(),
                request.path(),
                request.headers(),
                ModelField.replace(request.body(), model),
                request.version(),
                request.timeoutMillis(),
                request.urgency());
    }

    private static byte[] encode(Object order) {
        try {
            return JSON.writeValueAsString(order).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private record Order(String adapter, String version, long fencingNumber) {
        static Order of(AdapterVersion version, long fencingNumber) {
            return new Order(version.adapter(), version.version(), fencingNumber);
        }
    }

    private record Cancel(String request) {}

    private static final class OrderListener implements BackendListener {
        private final CompletableFuture<Void> done;

        OrderListener(CompletableFuture<Void> done) {
            this.done = done;
        }

        @Override
        public void onSending() {
            // Orders are not checked before sending; only requests of callers are.
        }

        @Override
        public void onHead(int status, Map<String, List<String>> headers) {
            // The answer rule has already checked the status.
        }

        @Override
        public void onBytes(byte[] bytes) {
            // The body of an answer to an order is not used.
        }

        @Override
        public void onEnd(long usedTokens) {
            done.complete(null);
        }

        @Override
        public void onFailure(ResultException failure) {
            done.completeExceptionally(failure);
        }
    }
}
