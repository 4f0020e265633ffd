package org.crocushaven.bench.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.bench.http.Exchange;
import org.crocushaven.bench.http.StandInServer;

/**
 * Stands in for the weight store. A token bucket bounds the rate at which loads start; a load takes
 * longer in proportion to the loads in flight once they exceed {@link Limits#maximumInFlight()}.
 */
public final class WeightStore implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Limits limits;
    private final StandInServer server;
    private int inFlight;
    private int highestInFlight;
    private int loads;
    private double startsAvailable;
    private long lastRefillNanos = System.nanoTime();

    private WeightStore(String host, int port, Limits limits) {
        this.limits = limits;
        startsAvailable = limits.fullSpeedLoads();
        server = StandInServer.start(host, port, this::handle);
    }

    /** Starts a weight store; port 0 picks a free port. */
    public static WeightStore start(String host, int port, Limits limits) {
        return new WeightStore(host, port, limits);
    }

    /** Returns the port on which the store serves. */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Exchange exchange) {
        if (exchange.path().startsWith("/weights/")) {
            beginLoad(exchange);
        } else if (exchange.path().equals("/standin/log")) {
            exchange.answer(200, document());
        } else {
            exchange.answer(404, Map.of("error", "unknown_path"));
        }
    }

    private void beginLoad(Exchange exchange) {
        inFlight++;
        loads++;
        highestInFlight = Math.max(highestInFlight, inFlight);
        final double slowdown = Math.max(1.0, (double) inFlight / limits.maximumInFlight());
        final long delayNanos =
                reserveStartNanos()
                        + Math.round(TimeUnit.MILLISECONDS.toNanos(limits.loadMillis()) * slowdown);
        server.eventLoop().schedule(() -> endLoad(exchange), delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Removes one start from the token bucket and returns the delay until the load may start, in
     * nanoseconds. A negative balance stands for the starts that are still delayed.
     */
    private long reserveStartNanos() {
        final long now = System.nanoTime();
        final double refill = (now - lastRefillNanos) / NANOS_PER_SECOND * limits.loadsPerSecond();
        startsAvailable = Math.min(limits.fullSpeedLoads(), startsAvailable + refill) - 1;
        lastRefillNanos = now;
        return startsAvailable >= 0
                ? 0
                : Math.round(-startsAvailable / limits.loadsPerSecond() * NANOS_PER_SECOND);
    }

    private void endLoad(Exchange exchange) {
        inFlight--;
        exchange.answer(200, Map.of());
    }

    private Map<String, Object> document() {
        final Map<String, Object> document = new LinkedHashMap<>();
        document.put("loads", loads);
        document.put("in_flight", inFlight);
        document.put("most_in_flight", highestInFlight);
        return document;
    }

    /**
     * Limits the rate and speed of loads.
     *
     * @param loadsPerSecond loads that may start each second
     * @param fullSpeedLoads capacity of the token bucket: loads that may start at once
     * @param maximumInFlight loads in flight above which each load takes longer in proportion
     * @param loadMillis duration of a load that is not slowed down, in milliseconds
     */
    public record Limits(
            double loadsPerSecond, int fullSpeedLoads, int maximumInFlight, long loadMillis) {}
}
