package org.crocushaven.instance;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.Trait;
import org.crocushaven.forwarding.ForeignAnswer;
import org.crocushaven.forwarding.ForwardingObserver;
import org.crocushaven.forwarding.ForwardingSummary;
import org.crocushaven.forwarding.UnfinishedWork;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.PromptPart;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;

/** Logs and counts retries, failed attempts and results of client requests. */
final class ForwardingLog implements ForwardingObserver {
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 2, 5, 10
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
    private final Counter requests =
            Counter.builder()
                    .name("crocushaven_gateway_requests")
                    .help("Requests of clients by outcome.")
                    .labelNames("code")
                    .register(registry);
    private final Counter failedAttempts =
            Counter.builder()
                    .name("crocushaven_gateway_failed_attempts")
                    .help("Sends that led to no answer, by whether the request may have run.")
                    .labelNames("may_have_run")
                    .register(registry);
    private final Counter retries =
            Counter.builder()
                    .name("crocushaven_gateway_repeats")
                    .help("Requests sent to a backend server once more.")
                    .register(registry);
    private final Counter unavailableRetries =
            Counter.builder()
                    .name("crocushaven_gateway_retries_unavailable")
                    .help("Requests that could not be sent once more, by what was missing.")
                    .labelNames("missing")
                    .register(registry);
    private final Counter handOvers =
            Counter.builder()
                    .name("crocushaven_gateway_hand_overs")
                    .help("Requests handed over to other gateways, by what became of that.")
                    .labelNames("outcome")
                    .register(registry);
    private final Counter faults =
            Counter.builder()
                    .name("crocushaven_gateway_faults")
                    .help("Unexpected exceptions, by whether a request was unanswered.")
                    .labelNames("answer_under_way")
                    .register(registry);
    private final Counter leavingSends =
            Counter.builder()
                    .name("crocushaven_gateway_sends_to_leaving")
                    .help("Requests sent to a backend server that leaves or is unknown, by state.")
                    .labelNames("state")
                    .register(registry);
    private final Counter notices =
            Counter.builder()
                    .name("crocushaven_gateway_backend_notices")
                    .help("What backend servers newly said of themselves in answers, by kind.")
                    .labelNames("kind")
                    .register(registry);
    private final Counter foreignAnswers =
            Counter.builder()
                    .name("crocushaven_gateway_foreign_answers")
                    .help("Answers that came where another request's was awaited.")
                    .register(registry);
    private final Counter idleCloses =
            Counter.builder()
                    .name("crocushaven_gateway_idle_closes")
                    .help("Connections of clients that were closed as idle.")
                    .register(registry);
    private final Counter unfinished =
            Counter.builder()
                    .name("crocushaven_gateway_left_unfinished")
                    .help("What a stopping gateway left of its connections, by kind.")
                    .labelNames("work")
                    .register(registry);
    private final Gauge evacuatedDomains =
            Gauge.builder()
                    .name("crocushaven_gateway_evacuated_domains")
                    .help("Failure domains to which nothing is sent.")
                    .register(registry);
    private final Gauge coldBackends =
            Gauge.builder()
                    .name("crocushaven_gateway_cold_backends")
                    .help("Backend servers that get granted requests only.")
                    .register(registry);
    private final Histogram waits =
            Histogram.builder()
                    .name("crocushaven_gateway_wait_seconds")
                    .help("Time until the first byte for the client, or the refusal.")
                    .classicOnly()
                    .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                    .register(registry);

    private final Histogram pauses =
            Histogram.builder()
                    .name("crocushaven_gateway_stream_pause_seconds")
                    .help("Longest time between two events of a stream as they arrived.")
                    .classicOnly()
                    .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                    .register(registry);

    private ForwardingLog() {}

    /** Returns a log with its own metrics registry. */
    static ForwardingLog create() {
        return new ForwardingLog();
    }

    /** Returns the metrics in the Prometheus text format. */
    String metrics() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(bytes, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Returns the media type of {@link #metrics()}. */
    String metricsMediaType() {
        return PrometheusTextFormatWriter.CONTENT_TYPE;
    }

    @Override
    public void sent(
            IngressRequest request, BackendRecord backend, int attempt, int requestsAtBackend) {
        if (attempt > 1) {
            retries.inc();
            EventLine.of("sent-again")
                    .with("request", request.requestId())
                    .with("backend", backend.backend())
                    .with("software", backend.softwareVersion())
                    .with("attempt", attempt)
                    .with("requests_there", requestsAtBackend)
                    .info();
        }
    }

    @Override
    public void sentToLeaving(
            IngressRequest request,
            String backend,
            String state,
            long sinceArrivalMillis,
            long adapterWaitMillis) {
        leavingSends.labelValues(state).inc();
        EventLine.of("sent-to-leaving")
                .with("request", request.requestId())
                .with("backend", backend)
                .with("state", state)
                .with("since_arrival_ms", sinceArrivalMillis)
                .with("adapter_wait_ms", adapterWaitMillis)
                .info();
    }

    @Override
    public void leavingAnnounced(IngressRequest request, String backend) {
        notices.labelValues("leaving").inc();
        EventLine.of("backend-leaving-announced")
                .with("backend", backend)
                .with("request", request.requestId())
                .info();
    }

    @Override
    public void pauseAnnounced(IngressRequest request, String backend, long millis) {
        notices.labelValues("paused").inc();
        EventLine.of("backend-paused")
                .with("backend", backend)
                .with("millis", millis)
                .with("request", request.requestId())
                .info();
    }

    @Override
    public void limitAnnounced(IngressRequest request, String backend, OptionalDouble perSecond) {
        notices.labelValues("limited").inc();
        EventLine.of("backend-limit-announced")
                .with("backend", backend)
                .with("per_second", perSecond.isPresent() ? perSecond.getAsDouble() : "-")
                .with("request", request.requestId())
                .info();
    }

    @Override
    public void brittleAnnounced(IngressRequest request, String backend, OptionalDouble bears) {
        notices.labelValues("brittle").inc();
        EventLine.of("backend-brittle-announced")
                .with("backend", backend)
                .with("bears", bears.isPresent() ? bears.getAsDouble() : "-")
                .with("request", request.requestId())
                .info();
    }

    @Override
    public void attemptFailed(
            IngressRequest request,
            List<Long> traits,
            BackendRecord backend,
            int attempt,
            boolean mayHaveRun,
            String reason) {
        failedAttempts.labelValues(Boolean.toString(mayHaveRun)).inc();
        EventLine.of("attempt-failed")
                .with("request", request.requestId())
                .with("backend", backend.backend())
                .with("software", backend.softwareVersion())
                .with("attempt", attempt)
                .with("may_have_run", mayHaveRun)
                .with("reason", reason)
                .with("started_ms", backend.startedMillis())
                .with("model", request.model().map(Object::toString).orElse("-"))
                .with("parts", PromptPart.list(request.promptParts()))
                .with("traits", Trait.list(traits))
                .info();
    }

    @Override
    public void retryUnavailable(IngressRequest request, String missing) {
        unavailableRetries.labelValues(missing).inc();
        EventLine.of("retry-unavailable")
                .with("request", request.requestId())
                .with("missing", missing)
                .info();
    }

    @Override
    public void foreignAnswer(
            IngressRequest request, String backend, int attempt, ForeignAnswer answer) {
        foreignAnswers.inc();
        EventLine.of("foreign-answer")
                .with("request", request.requestId())
                .with("backend", backend)
                .with("attempt", attempt)
                .with("answers", answer.requestId())
                .with("status", answer.status())
                .with("connection", answer.use().connection())
                .with("send", answer.use().send())
                .info();
    }

    @Override
    public void handedOver(IngressRequest request, String gateway, String reason) {
        handOvers.labelValues("begun").inc();
        EventLine.of("handed-over")
                .with("request", request.requestId())
                .with("gateway", gateway)
                .with("reason", reason)
                .info();
    }

    @Override
    public void handOverFailed(IngressRequest request, String gateway, String reason) {
        handOvers.labelValues("failed").inc();
        EventLine.of("hand-over-failed")
                .with("request", request.requestId())
                .with("gateway", gateway)
                .with("reason", reason)
                .info();
    }

    @Override
    public void updated(int evacuated, int cold) {
        evacuatedDomains.set(evacuated);
        coldBackends.set(cold);
    }

    @Override
    public void ended(ForwardingSummary summary) {
        requests.labelValues(Integer.toString(summary.code().number())).inc();
        waits.observe(summary.waitedMillis() / (double) TimeUnit.SECONDS.toMillis(1));
        if (summary.events() > 1) {
            pauses.observe(summary.longestPauseMillis() / (double) TimeUnit.SECONDS.toMillis(1));
        }
        EventLine.of("request-ended")
                .with("request", summary.request().requestId())
                .with("route", summary.route())
                .with("organisation", summary.organisation())
                .with("model", summary.request().model().map(Object::toString).orElse("-"))
                .with("configuration", summary.configurationVersion())
                .with("freshness_ms", summary.controlAgeMillis())
                .with("charged", summary.charged())
                .with("adapter_wait_ms", summary.adapterWaitMillis())
                .with("requests_there", summary.requestsAtBackend())
                .with("backend", summary.backend())
                .with("software", summary.softwareVersion())
                .with("resumes", summary.request().resumedRequestId().orElse("-"))
                .with("attempts", summary.attempts())
                .with("status", summary.status())
                .with("code", summary.code().number())
                .with("reason", summary.reason())
                .with("retry_ms", summary.retryMillis())
                .with("waited_ms", summary.waitedMillis())
                .with("total_ms", summary.totalMillis())
                .with("events", summary.events())
                .with("longest_pause_ms", summary.longestPauseMillis())
                .with("relayed", summary.request().isRelayed())
                .info();
    }

    @Override
    public void refusedBeforeDecoding(ResultCode code, String detail, boolean answerUnderWay) {
        requests.labelValues(Integer.toString(code.number())).inc();
        EventLine.of("request-unreadable")
                .with("code", code.number())
                .with("detail", detail)
                .with("answer_under_way", answerUnderWay)
                .info();
    }

    @Override
    public void faulted(Throwable fault, boolean answerUnderWay) {
        faults.labelValues(Boolean.toString(answerUnderWay)).inc();
        EventLine.fault(fault).with("answer_under_way", answerUnderWay).error();
    }

    @Override
    public void closedIdle(long idleMillis, long limitMillis) {
        idleCloses.inc();
        EventLine.of("connection-idle")
                .with("idle_ms", idleMillis)
                .with("limit_ms", limitMillis)
                .info();
    }

    @Override
    public void leftUnfinished(String requestId, UnfinishedWork work, long ageMillis) {
        unfinished.labelValues(work.name().toLowerCase(Locale.ROOT)).inc();
        EventLine.of("left-unfinished")
                .with("request", requestId)
                .with("work", work.name().toLowerCase(Locale.ROOT))
                .with("age_ms", ageMillis)
                .warn();
    }
}
