package org.crocushaven.daemon;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.caller.CallerObserver;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.dispatch.DispatchListener;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.observability.Decision;
import org.crocushaven.observability.DecisionLog;
import org.crocushaven.observability.EventLine;
import org.crocushaven.observability.Metrics;
import org.crocushaven.protocol.ProtocolListener;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.serving.ServingListener;

/**
 * Writes log lines, records decisions and updates metrics for events of the daemon's components.
 */
final class DaemonEvents
        implements ServingListener, DispatchListener, ProtocolListener, CallerObserver {
    private final DecisionLog decisions;
    private final Metrics metrics;

    DaemonEvents(DecisionLog decisions, Metrics metrics) {
        this.decisions = decisions;
        this.metrics = metrics;
    }

    @Override
    public void ended(String requestId, ResultCode code, long nanos) {
        metrics.recordRequest(code);
    }

    @Override
    public void routed(RouteDecisionEvent decision) {
        decisions.record(
                Decision.route(
                        decision.requestId(),
                        decision.organisation(),
                        versionOf(decision.model()),
                        decision.backendServer(),
                        decision.reason().toLowerCase(Locale.ROOT).replace('_', '-')));
    }

    @Override
    public void answered(RequestSummary summary) {
        if (!summary.organisation().isEmpty()) {
            metrics.recordServedTokens(summary.organisation(), summary.chargedTokens());
        }
        if (summary.waitedForLoad()) {
            metrics.recordLoadStall(summary.service(), summary.permitNanos());
        }
        if (summary.overheadNanos() >= 0) {
            metrics.recordAddedLatency(summary.overheadNanos());
        }
        if (summary.firstByteNanos() >= 0) {
            metrics.recordTimeToFirstToken(summary.firstByteNanos());
        }
        decisions.record(
                new Decision(
                        Optional.of(summary.requestId()),
                        requestLine("answer", summary).toString()));
    }

    @Override
    public void refused(RequestSummary summary, ResultException failure) {
        if (!summary.organisation().isEmpty()) {
            metrics.recordRefusedTokens(summary.organisation(), summary.chargedTokens());
        }
        decisions.record(
                new Decision(
                        Optional.of(summary.requestId()),
                        requestLine("refuse", summary)
                                .with("code", failure.code().number())
                                .with("execution", failure.execution().headerValue())
                                .with("reason", failure.code().name())
                                .toString()));
    }

    @Override
    public void dispatchingStarted(DispatchAssignment assignment) {
        EventLine.of("dispatch")
                .with("backend", assignment.server().name())
                .with("fencing_number", assignment.fencingNumber())
                .with("incarnation", assignment.server().incarnation())
                .info();
    }

    @Override
    public void dispatchingEnded(String backendServer, long fencingNumber) {
        EventLine.of("dispatch-ended")
                .with("backend", backendServer)
                .with("fencing_number", fencingNumber)
                .info();
    }

    @Override
    public void loadEnded(
            BackendServer server, AdapterVersion version, ResultCode code, long nanos) {
        adapterLine("load", server, version, code)
                .with("millis", TimeUnit.NANOSECONDS.toMillis(nanos))
                .info();
    }

    @Override
    public void unloadEnded(BackendServer server, AdapterVersion version, ResultCode code) {
        adapterLine("evict", server, version, code).info();
    }

    @Override
    public void onInvalidFrame(String peer, ResultCode code, String detail) {
        EventLine.of("peer-refused")
                .with("peer", peer)
                .with("code", code.number())
                .with("detail", detail)
                .warn();
    }

    /** Logs that an instance became known or changed its state. */
    void membershipChanged(InstanceRecord record) {
        EventLine.of("instance")
                .with("instance", record.name())
                .with("failure_domain", record.failureDomain())
                .with("incarnation", record.incarnation())
                .with("state", record.state().name())
                .info();
    }

    private static EventLine requestLine(String event, RequestSummary summary) {
        return EventLine.of(event)
                .with("request", summary.requestId())
                .with("organisation", orDash(summary.organisation()))
                .with("service", orDash(summary.service()))
                .with("model", orDash(summary.model()))
                .with("backend", orDash(summary.backendServer()))
                .with("attempts", summary.attempts())
                .with("tokens", summary.chargedTokens())
                .with("load_wait", summary.waitedForLoad())
                .with("permit_micros", TimeUnit.NANOSECONDS.toMicros(summary.permitNanos()))
                .with("total_micros", TimeUnit.NANOSECONDS.toMicros(summary.totalNanos()));
    }

    private static EventLine adapterLine(
            String event, BackendServer server, AdapterVersion version, ResultCode code) {
        return EventLine.of(event)
                .with("backend", server.name())
                .with("adapter", version.adapter())
                .with("version", version.version())
                .with("code", code.number());
    }

    private static Optional<AdapterVersion> versionOf(String model) {
        return model.isEmpty() ? Optional.empty() : Optional.of(AdapterVersion.parse(model));
    }

    private static String orDash(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
