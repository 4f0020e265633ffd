package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.bench.http.Exchange;
import org.crocushaven.bench.http.StandInServer;

/** Stands in for a model engine; the state is confined to the event loop of its HTTP server. */
public final class Engine implements AnnouncedStandIn, AutoCloseable {
    private static final Map<String, String> NOT_RUN_HEADERS =
            Map.of("Crocushaven-Execution", "not-run");
    private static final long DRAIN_CHECK_MILLIS = 20;

    private final EngineSettings settings;
    private final RunLog log;
    private final AdapterSlots slots;
    private final AdapterSource source;
    private final StandInServer server;
    private final Batch batch;
    private final Announcer announcer;
    private EngineFaults faults = EngineFaults.none();
    private long highestFencingNumber;
    private boolean draining;

    private Engine(EngineSettings settings) {
        this.settings = settings;
        log = new RunLog(settings.name());
        slots = new AdapterSlots(settings.adapterSlots());
        source = AdapterSource.of(settings.weightStore(), settings.loadDelayMillis());
        server = StandInServer.start(settings.host(), settings.port(), this::handle);
        batch = new Batch(server.eventLoop(), settings, log, () -> faults);
        announcer = Announcer.start(this, settings.announcementAddresses());
    }

    /** Starts an engine and its announcements. */
    public static Engine start(EngineSettings settings) {
        return new Engine(settings);
    }

    /** Returns the port on which the engine serves. */
    public int port() {
        return server.port();
    }

    @Override
    public String name() {
        return settings.name();
    }

    @Override
    public Registration registration() {
        return new Registration(
                settings.name(),
                settings.service(),
                settings.failureDomain(),
                settings.host(),
                port(),
                settings.adapterSlots(),
                settings.concurrentRequests(),
                settings.checksFencing());
    }

    @Override
    public CompletableFuture<Map<String, Object>> heartbeatLoad() {
        return CompletableFuture.supplyAsync(this::status, server.eventLoop());
    }

    /** Announces draining, waits at most the grace period for requests to finish, then leaves. */
    public void drainAndLeave(long graceMillis) {
        announcer.drain();
        final CompletableFuture<Void> idle = new CompletableFuture<>();
        server.eventLoop().execute(() -> awaitIdle(idle));
        idle.completeOnTimeout(null, graceMillis, TimeUnit.MILLISECONDS).join();
        announcer.leave();
        server.close();
    }

    @Override
    public void close() {
        announcer.close();
        server.close();
    }

    private void awaitIdle(CompletableFuture<Void> idle) {
        draining = true;
        if (batch.running() + batch.waiting() == 0) {
            idle.complete(null);
        } else {
            server.eventLoop()
                    .schedule(() -> awaitIdle(idle), DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/v1/chat/completions", "/v1/completions" -> generate(exchange);
            case "/orders/load" -> handleOrder(exchange, this::loadAdapter);
            case "/orders/unload" -> handleOrder(exchange, this::unloadAdapter);
            case "/orders/cancel" -> cancel(exchange);
            case "/status" -> exchange.answer(200, status());
            case "/standin/log" -> exchange.answer(200, log.document());
            case "/standin/faults" -> setFaults(exchange);
            default -> exchange.answer(404, NOT_RUN_HEADERS, Map.of("error", "unknown_path"));
        }
    }

    private Map<String, Object> status() {
        final Map<String, Object> body = new LinkedHashMap<>();
        body.put("name", settings.name());
        body.put("running", batch.running());
        body.put("waiting", batch.waiting());
        body.put("loaded", new TreeSet<>(slots.loaded()));
        body.put("busy", batch.busyModels());
        body.put("draining", draining);
        return body;
    }

    private void generate(Exchange exchange) {
        final String model = exchange.json().path("model").asText();
        if (faults.refuse() || !batch.hasWaitingCapacity()) {
            log.count("refused");
            exchange.answer(503, NOT_RUN_HEADERS, Map.of("error", "busy"));
        } else if (model.isEmpty()) {
            exchange.answer(400, NOT_RUN_HEADERS, Map.of("error", "malformed"));
        } else if (model.contains("@") && !slots.holds(model)) {
            log.count("adapter_not_loaded");
            exchange.answer(404, NOT_RUN_HEADERS, Map.of("error", "adapter_not_loaded"));
        } else {
            final String requestId = exchange.header("Crocushaven-Request-Id");
            final int runIndex =
                    log.beginRun(requestId, model, Credentials.present(exchange.headers()));
            final String echoedModel = faults.wrongEcho() ? model + "-other" : model;
            batch.add(new Sequence(exchange, model, echoedModel, runIndex));
        }
    }

    private void handleOrder(Exchange exchange, Order order) {
        final JsonNode body = exchange.json();
        final long fencingNumber = body.path("fencing_number").asLong();
        if (fencingNumber < highestFencingNumber) {
            log.count("old_fencing_number");
            if (settings.checksFencing()) {
                exchange.answer(409, Map.of("error", "old_fencing_number"));
                return;
            }
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        order.execute(
                exchange, body.path("adapter").asText() + "@" + body.path("version").asText());
    }

    private void loadAdapter(Exchange exchange, String adapterVersion) {
        final CompletableFuture<Void> pendingLoad = slots.pendingLoad(adapterVersion);
        if (slots.holds(adapterVersion)) {
            exchange.answer(200, Map.of());
        } else if (pendingLoad != null) {
            pendingLoad.whenCompleteAsync(
                    (ignored, failure) -> answerLoad(exchange, failure), server.eventLoop());
        } else if (slots.isFull()) {
            log.count("no_free_slot");
            exchange.answer(507, Map.of("error", "no_free_slot"));
        } else if (faults.failLoads()) {
            log.count("load_failed");
            exchange.answer(503, Map.of("error", "load_failed"));
        } else {
            beginLoad(exchange, adapterVersion);
        }
    }

    private void beginLoad(Exchange exchange, String adapterVersion) {
        log.count("load");
        final CompletableFuture<Void> load = source.load(adapterVersion);
        slots.beginLoad(adapterVersion, load);
        load.whenCompleteAsync(
                (ignored, failure) -> {
                    slots.endLoad(adapterVersion, failure == null);
                    answerLoad(exchange, failure);
                },
                server.eventLoop());
    }

    private static void answerLoad(Exchange exchange, Throwable failure) {
        if (failure == null) {
            exchange.answer(200, Map.of());
        } else {
            exchange.answer(503, Map.of("error", "load_failed"));
        }
    }

    private void unloadAdapter(Exchange exchange, String adapterVersion) {
        if (batch.uses(adapterVersion)) {
            log.recordViolation("unload_while_running adapter=" + adapterVersion);
            exchange.answer(423, Map.of("error", "in_use"));
        } else {
            log.count("unload");
            slots.unload(adapterVersion);
            exchange.answer(200, Map.of());
        }
    }

    private void cancel(Exchange exchange) {
        final String requestId = exchange.json().path("request").asText();
        final int cancelled = batch.cancel(sequence -> sequence.requestId().equals(requestId));
        exchange.answer(200, Map.of("cancelled", cancelled));
    }

    private void setFaults(Exchange exchange) {
        final JsonNode body = exchange.json();
        faults = EngineFaults.from(body);
        exchange.answer(200, Map.of());
        if (body.path("die").asBoolean()) {
            announcer.close();
            server.abort();
        }
    }

    /** Executes one kind of order that was not refused for its fencing number. */
    @FunctionalInterface
    private interface Order {
        void execute(Exchange exchange, String adapterVersion);
    }
}
