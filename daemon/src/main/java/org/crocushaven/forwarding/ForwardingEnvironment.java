package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressService;
import org.crocushaven.outbound.BackendChannel;
import org.crocushaven.outbound.BackendPool;
import org.crocushaven.residency.RegionMap;

/**
 * Contains the objects that all requests of a gateway share.
 *
 * @param loop event loop on which requests are served
 * @param clock monotonic clock
 * @param random chooses among the weighted services of a route
 * @param dialect reads and writes headers
 * @param configuration source of the configuration in force
 * @param pool connections to backend servers
 * @param view known backend servers and their load
 * @param health recent failures of backend servers
 * @param selector selects a backend server
 * @param retryBudget bounds the number of retries
 * @param admission checks keys and rates
 * @param freshness age of the control state
 * @param promptReaders which backend server has recently read which prompt
 * @param streams where the streams of this gateway began
 * @param leader requests adapter placements and tokens from the leader
 * @param crashes keeps condemned prompts away from backend servers
 * @param paths which paths of this gateway to backend servers are open
 * @param probes tries those that may be closed
 * @param relays other gateways that can take requests over
 * @param regions region of each failure domain
 * @param region region of this gateway; empty if not known
 * @param observer is notified of sends, failures and results
 */
record ForwardingEnvironment(
        EventLoop loop,
        NanoClock clock,
        RandomGenerator random,
        IngressDialect dialect,
        ConfigurationSource configuration,
        BackendPool pool,
        GatewayBackends view,
        BackendHealth health,
        BackendSelector selector,
        ServiceRetryBudget retryBudget,
        KeyedAdmission admission,
        ControlFreshness freshness,
        PromptReaders promptReaders,
        BegunStreamMemory streams,
        LeaderRequests leader,
        CrashGuard crashes,
        BackendPaths paths,
        PathProbes probes,
        Relays relays,
        RegionMap regions,
        String region,
        ForwardingObserver observer) {
    long nowNanos() {
        return clock.nanoTime();
    }

    /** Records that a backend server refused a connection, so that it may start anew. */
    void doubt(BackendRecord backend) {
        configuration
                .current()
                .flatMap(known -> known.service(backend.service()))
                .flatMap(IngressService::coldStart)
                .ifPresent(
                        bound ->
                                view.cold()
                                        .doubt(
                                                backend.backend(),
                                                backend.startedMillis(),
                                                bound,
                                                nowNanos()));
    }

    /**
     * Returns a connection for a request; one without identifier gets a new one, since only the
     * place of its answer says what it answers.
     *
     * @param freshOnly whether an idle connection must not be one that may be about to be closed
     */
    CompletableFuture<BackendChannel> connectionFor(
            IngressRequest request, InetSocketAddress address, boolean freshOnly) {
        return request.isNamed()
                ? pool.acquire(address, request.requestId(), freshOnly)
                : pool.connect(address);
    }

    /**
     * Records what a backend server says of itself in an answer, and reports what is new.
     *
     * @param sentNanos time at which the answered request was sent
     */
    void recordNotices(
            IngressRequest request,
            BackendRecord answering,
            BackendAnswerHead head,
            long sentNanos) {
        recordLimit(request, answering, head, sentNanos);
        recordBrittle(request, answering, head, sentNanos);
        if (head.leaving() && view.notices().recordLeaving(answering)) {
            observer.leavingAnnounced(request, answering.backend());
        }
        head.pause()
                .filter(pause -> view.notices().recordPause(answering.backend(), pause, nowNanos()))
                .ifPresent(
                        pause ->
                                observer.pauseAnnounced(
                                        request, answering.backend(), pause.toMillis()));
    }

    /** An answer without signature may name a limit, but does not end one by naming none. */
    private void recordLimit(
            IngressRequest request,
            BackendRecord answering,
            BackendAnswerHead head,
            long sentNanos) {
        final boolean counts = head.signed() || head.limit().perSecond().isPresent();
        if (counts && view.limits().recordAnswer(answering, head.limit(), sentNanos, nowNanos())) {
            observer.limitAnnounced(request, answering.backend(), head.limit().perSecond());
        }
    }

    /**
     * An answer without signature may say that it is brittle, but not by silence that it is not.
     */
    private void recordBrittle(
            IngressRequest request,
            BackendRecord answering,
            BackendAnswerHead head,
            long sentNanos) {
        final boolean counts = head.signed() || head.brittle().isPresent();
        if (counts
                && view.brittle().recordAnswer(answering, head.brittle(), sentNanos, nowNanos())) {
            observer.brittleAnnounced(request, answering.backend(), head.brittle());
        }
        if (head.notRun()) {
            view.brittle().recordRejection(answering, nowNanos());
        }
    }

    /** Provides the configuration in force. */
    interface ConfigurationSource {
        /** Returns the configuration; empty before the first one is received. */
        Optional<IngressConfiguration> current();
    }
}
