package org.crocushaven.observability;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.ResultCode;

/**
 * Collects the metrics of one instance and writes them in the Prometheus text format.
 *
 * <p>Labels are organisations and services, whose number is bounded by the configuration, result
 * codes and the two directions of traffic; requests, keys and adapters are never used as labels.
 */
public final class Metrics {
    /** Media type of {@link #scrape()}. */
    public static final String MEDIA_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double[] ADDED_LATENCY_BUCKETS_SECONDS = {
        0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 1
    };
    private static final double[] FIRST_TOKEN_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

    private final Counter requests =
            counter("crocushaven_requests", "Requests of callers by outcome.", "code");
    private final Counter servedTokens =
            counter("crocushaven_served_tokens", "Tokens of served requests.", "organisation");
    private final Counter refusedTokens =
            counter("crocushaven_refused_tokens", "Tokens of refused requests.", "organisation");
    private final Counter wrongfulRefusals =
            counter(
                    "crocushaven_wrongful_refusals",
                    "Requests refused although inside the organisation's rate.",
                    "organisation");
    private final Counter loadStalls =
            counter("crocushaven_load_stalls", "Requests that waited for a load.", "service");
    private final Counter loadStallSeconds =
            counter("crocushaven_load_stall_seconds", "Time requests waited for loads.", "service");
    private final Counter batchedRequests =
            counter(
                    "crocushaven_batched_requests",
                    "Requests whose adapter version was running already when they were sent.",
                    "service");
    private final Counter engineRequests =
            counter("crocushaven_engine_requests", "Requests sent to engines.", "service");
    private final Counter controlBytes =
            counter("crocushaven_control_bytes", "Bytes between instances.", "direction");
    private final Histogram addedLatency =
            histogram(
                    "crocushaven_added_latency_seconds",
                    "Time of requests inside this instance, without backend servers and queues.",
                    ADDED_LATENCY_BUCKETS_SECONDS);
    private final Histogram firstToken =
            histogram(
                    "crocushaven_first_token_seconds",
                    "Time from arrival to the first part of the answer.",
                    FIRST_TOKEN_BUCKETS_SECONDS);
    private final Gauge sessions =
            gauge("crocushaven_sessions", "Sessions held with the leader here.");
    private final Gauge revision =
            gauge("crocushaven_revision", "Configuration revision in force here.");
    private final Gauge leader =
            gauge("crocushaven_leader", "1 when this instance leads the control group.");

    private final Gauge requestsInFlight =
            gauge("crocushaven_requests_under_way", "Requests that are being served.");
    private final Gauge permitsHeld =
            gauge("crocushaven_permits_held", "Permits that this instance holds.");

    private Metrics() {
        ProcessMetrics.register(registry);
    }

    /** Returns metrics whose counters are all zero. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Counts a request that ended with the given code. */
    public void recordRequest(ResultCode code) {
        requests.labelValues(Integer.toString(code.number())).inc();
    }

    /** Adds the tokens used by a served request of an organisation. */
    public void recordServedTokens(String organisation, long tokens) {
        servedTokens.labelValues(organisation).inc(tokens);
    }

    /** Adds the tokens of a refused request of an organisation. */
    public void recordRefusedTokens(String organisation, long tokens) {
        refusedTokens.labelValues(organisation).inc(tokens);
    }

    /** Counts a request that was refused although its organisation was within its rate. */
    public void recordWrongfulRefusal(String organisation) {
        wrongfulRefusals.labelValues(organisation).inc();
    }

    /** Counts a request that waited for a load, and adds its waiting time. */
    public void recordLoadStall(String service, long nanos) {
        loadStalls.labelValues(service).inc();
        loadStallSeconds.labelValues(service).inc(seconds(nanos));
    }

    /**
     * Counts a request that was sent to an engine.
     *
     * @param batched whether the engine was already running its adapter version
     */
    public void recordEngineRequest(String service, boolean batched) {
        engineRequests.labelValues(service).inc();
        if (batched) {
            batchedRequests.labelValues(service).inc();
        }
    }

    /** Records the latency that this instance itself added to a request. */
    public void recordAddedLatency(long nanos) {
        addedLatency.observe(seconds(nanos));
    }

    /** Records the time from the arrival of a request to the first part of its answer. */
    public void recordTimeToFirstToken(long nanos) {
        firstToken.observe(seconds(nanos));
    }

    /** Adds bytes sent to other instances. */
    public void recordControlBytesSent(long bytes) {
        controlBytes.labelValues("sent").inc(bytes);
    }

    /** Adds bytes received from other instances. */
    public void recordControlBytesReceived(long bytes) {
        controlBytes.labelValues("received").inc(bytes);
    }

    /** Sets the number of sessions that this instance holds as the leader. */
    public void setSessions(int count) {
        sessions.set(count);
    }

    /** Sets the configuration revision in force. */
    public void setRevision(long configurationRevision) {
        revision.set(configurationRevision);
    }

    /** Sets whether this instance leads the control group. */
    public void setLeader(boolean leads) {
        leader.set(leads ? 1 : 0);
    }

    /** Sets how many requests are being served and how many permits are held. */
    public void setInFlight(int requestCount, int permitCount) {
        requestsInFlight.set(requestCount);
        permitsHeld.set(permitCount);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(bytes, registry.scrape());
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Counter counter(String name, String help, String label) {
        return Counter.builder().name(name).help(help).labelNames(label).register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }

    private Histogram histogram(String name, String help, double[] bounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(registry);
    }

    private static double seconds(long nanos) {
        return nanos / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
