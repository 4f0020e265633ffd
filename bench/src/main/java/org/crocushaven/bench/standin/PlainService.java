package org.crocushaven.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.bench.http.Exchange;
import org.crocushaven.bench.http.StandInServer;

/**
 * Stands in for a plain service. Each {@code POST} is a booking that runs every time it arrives,
 * also when its idempotency key repeats; runs are counted by key. Other methods are idempotent.
 */
public final class PlainService implements AnnouncedStandIn, AutoCloseable {
    private final PlainServiceSettings settings;
    private final RunLog log;
    private final StandInServer server;
    private final Announcer announcer;
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private PlainServiceFaults faults = PlainServiceFaults.none();
    private int running;

    private PlainService(PlainServiceSettings settings) {
        this.settings = settings;
        log = new RunLog(settings.name());
        server = StandInServer.start(settings.host(), settings.port(), this::handle);
        announcer = Announcer.start(this, settings.announcementAddresses());
    }

    /** Starts a plain service and its announcements. */
    public static PlainService start(PlainServiceSettings settings) {
        return new PlainService(settings);
    }

    /** Returns the port on which the service serves. */
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
                0,
                settings.concurrentRequests(),
                false);
    }

    @Override
    public CompletableFuture<Map<String, Object>> heartbeatLoad() {
        return CompletableFuture.supplyAsync(this::status, server.eventLoop());
    }

    /** Announces draining and leaves, without waiting for running calls. */
    public void drainAndLeave() {
        announcer.drain();
        announcer.leave();
        server.close();
    }

    @Override
    public void close() {
        announcer.close();
        server.close();
    }

    private Map<String, Object> status() {
        final Map<String, Object> body = new LinkedHashMap<>();
        body.put("name", settings.name());
        body.put("running", running);
        body.put("waiting", 0);
        body.put("loaded", List.of());
        body.put("busy", List.of());
        body.put("draining", false);
        return body;
    }

    private void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/status" -> exchange.answer(200, status());
            case "/standin/log" -> exchange.answer(200, logDocument());
            case "/standin/faults" -> setFaults(exchange);
            default -> handleCall(exchange);
        }
    }

    private void handleCall(Exchange exchange) {
        if (faults.refuse()) {
            exchange.answer(
                    503, Map.of("Crocushaven-Execution", "not-run"), Map.of("error", "busy"));
        } else if (faults.cutBeforeRun()) {
            exchange.cut();
        } else {
            execute(exchange);
        }
    }

    private void execute(Exchange exchange) {
        running++;
        final String requestId = exchange.header("Crocushaven-Request-Id");
        final String route = exchange.method() + " " + exchange.path();
        final int runIndex =
                log.beginRun(requestId, route, Credentials.present(exchange.headers()));
        final Map<String, Object> document = answerDocument(exchange);
        if (faults.answerDelayMillis() > 0) {
            server.eventLoop()
                    .schedule(
                            () -> endCall(exchange, runIndex, document),
                            faults.answerDelayMillis(),
                            TimeUnit.MILLISECONDS);
        } else {
            endCall(exchange, runIndex, document);
        }
    }

    /** Counts the run of a {@code POST} and returns the document that answers the call. */
    private Map<String, Object> answerDocument(Exchange exchange) {
        final String key = exchange.header("Idempotency-Key");
        final Map<String, Object> document = new LinkedHashMap<>();
        document.put("request", exchange.header("Crocushaven-Request-Id"));
        document.put("organisation", exchange.header("Crocushaven-Organisation"));
        document.put("path", exchange.path());
        document.put("body", exchange.body());
        if (exchange.method().equals("POST")) {
            document.put("key", key);
            document.put("run", runsByKey.merge(key, 1, Integer::sum));
        }
        return document;
    }

    private void endCall(Exchange exchange, int runIndex, Map<String, Object> document) {
        running--;
        if (faults.cutAfterRun()) {
            log.endRun(runIndex, "cut");
            exchange.cut();
        } else if (faults.failAfterRun()) {
            log.endRun(runIndex, "failed");
            exchange.answer(500, Map.of("error", "failed"));
        } else {
            log.endRun(runIndex, "finished");
            exchange.answer(
                    200,
                    Map.of("Crocushaven-Request-Id", document.get("request").toString()),
                    document);
        }
    }

    private Map<String, Object> logDocument() {
        final Map<String, Object> document = new LinkedHashMap<>(log.document());
        document.put("runs_by_key", Map.copyOf(runsByKey));
        return document;
    }

    private void setFaults(Exchange exchange) {
        final JsonNode body = exchange.json();
        faults = PlainServiceFaults.from(body);
        exchange.answer(200, Map.of());
        if (body.path("die").asBoolean()) {
            announcer.close();
            server.abort();
        }
    }
}
