package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.ControlHint;
import org.crocushaven.fleet.GatewayReport;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Connects a gateway to the leader: finds it among the instances that hold control state, sends
 * reports to it and hands over its updates. Used on one event loop only.
 */
final class LeaderLink implements LeaderRequests {
    /**
     * Regular interval between reports; one twelfth of 3 s, the shortest time within which an
     * update must arrive.
     */
    private static final long REPORT_INTERVAL_MILLIS = 250;

    /**
     * Interval between reports while this gateway sends prompts that other gateways should soon
     * know of.
     */
    private static final long FREQUENT_REPORT_INTERVAL_MILLIS = 100;

    /** Delay before another instance is tried while none answers as leader. */
    private static final long SEARCH_DELAY_MILLIS = 60;

    /**
     * Minimum interval between reports that are brought forward by announced updates or missing
     * tokens.
     */
    private static final long MINIMUM_REPORT_INTERVAL_MILLIS = 15;

    /** Delay of the report that returns the tokens which waiting requests did not need. */
    private static final long TOKEN_RETURN_REPORT_DELAY_MILLIS = 60;

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(300);

    /**
     * Added to the patience of a request: long enough for the leader to send two commands to an
     * engine and receive the answers. When it has passed, the client is refused with a retry delay.
     */
    private static final Duration ADAPTER_REQUEST_TIMEOUT = Duration.ofMillis(700);

    private static final Duration STREAM_ORIGIN_TIMEOUT = Duration.ofMillis(300);

    private final EventLoop loop;
    private final PeerTransport transport;
    private final NanoClock clock;
    private final LongFunction<GatewayReport> reports;
    private final UpdateListener updates;
    private final BooleanSupplier needsFrequentReports;
    private final Set<String> controlInstances = new LinkedHashSet<>();
    private final List<Runnable> pendingActions = new ArrayList<>();

    /** Number of pending actions that wait for the answer to the report in flight. */
    private int actionsAwaitingAnswer;

    private String target = "";
    private String leader = "";
    private boolean reportInFlight;
    private boolean reportRequested;
    private long reportNumber;
    private long lastSentNanos;
    private ScheduledFuture<?> timer;
    private boolean stopped;

    /**
     * Creates a link that is not searching for the leader yet.
     *
     * @param reports creates the report for the given time
     * @param updates receives the leader's updates
     * @param needsFrequentReports whether there is something to report that other gateways should
     *     soon know of
     */
    LeaderLink(
            EventLoop loop,
            PeerTransport transport,
            NanoClock clock,
            LongFunction<GatewayReport> reports,
            UpdateListener updates,
            BooleanSupplier needsFrequentReports) {
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.reports = reports;
        this.updates = updates;
        this.needsFrequentReports = needsFrequentReports;
    }

    /** Adds instances that may hold control state. */
    void addControlInstances(List<String> names) {
        controlInstances.addAll(names);
    }

    /** Starts searching for the leader. */
    void start() {
        report();
    }

    /** Stops reporting. */
    void stop() {
        stopped = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /**
     * Handles the announcement that an instance leads and has an update. A report in flight to
     * another instance is abandoned, because that instance may be lost and waiting for its answer
     * would delay the update.
     */
    void leaderAnnounced(String leading) {
        controlInstances.add(leading);
        if (leading.equals(target)) {
            reportSoon();
            return;
        }
        target = leading;
        reportInFlight = false;
        report();
    }

    /** Brings the next report forward. */
    void reportSoon() {
        if (reportInFlight) {
            reportRequested = true;
            return;
        }
        final long sinceMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - lastSentNanos);
        schedule(Math.max(0, MINIMUM_REPORT_INTERVAL_MILLIS - sinceMillis));
    }

    @Override
    public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
        if (leader.isEmpty()) {
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.NO_DISPATCHER, request.service()));
        }
        final CompletableFuture<AdapterGrant> granted = new CompletableFuture<>();
        final String recipient = leader;
        transport
                .request(
                        recipient,
                        request,
                        ADAPTER_REQUEST_TIMEOUT.plusMillis(request.patienceMillis()))
                .whenComplete(
                        (answer, failure) ->
                                loop.execute(
                                        () -> completeGrant(granted, request, recipient, answer)));
        return granted;
    }

    @Override
    public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
        final CompletableFuture<StreamOriginAnswer> found = new CompletableFuture<>();
        if (leader.isEmpty()) {
            found.completeExceptionally(noLeader(query));
            return found;
        }
        transport
                .request(leader, query, STREAM_ORIGIN_TIMEOUT)
                .whenComplete(
                        (answer, failure) ->
                                loop.execute(() -> completeOrigin(found, query, answer)));
        return found;
    }

    private static void completeOrigin(
            CompletableFuture<StreamOriginAnswer> found, StreamOriginQuery query, Message answer) {
        if (answer instanceof StreamOriginAnswer origin) {
            found.complete(origin);
        } else {
            found.completeExceptionally(noLeader(query));
        }
    }

    private static ResultException noLeader(StreamOriginQuery query) {
        return ResultException.of(ResultCode.NO_DISPATCHER, query.service());
    }

    @Override
    public void afterNextReport(Runnable action) {
        pendingActions.add(action);
        reportSoon();
    }

    private static void completeGrant(
            CompletableFuture<AdapterGrant> granted,
            AdapterRequest request,
            String recipient,
            Message answer) {
        if (answer instanceof AdapterGrant grant) {
            granted.complete(grant);
        } else {
            EventLine.of("adapter-ask-unanswered")
                    .with("leader", recipient)
                    .with("service", request.service())
                    .with("adapter", request.adapter())
                    .info();
            granted.completeExceptionally(
                    ResultException.of(ResultCode.NO_DISPATCHER, request.service()));
        }
    }

    private void report() {
        if (stopped || reportInFlight) {
            return;
        }
        if (target.isEmpty()) {
            target = nextControlInstance("");
        }
        reportInFlight = true;
        final long number = ++reportNumber;
        actionsAwaitingAnswer = pendingActions.size();
        reportRequested = false;
        lastSentNanos = clock.nanoTime();
        final long sentNanos = lastSentNanos;
        final String recipient = target;
        sendReport(recipient, sentNanos)
                .whenComplete(
                        (answer, failure) ->
                                loop.execute(
                                        () ->
                                                handleAnswerIfCurrent(
                                                        number, recipient, sentNanos, answer)));
    }

    private CompletableFuture<Message> sendReport(String recipient, long sentNanos) {
        try {
            return transport.request(recipient, reports.apply(sentNanos), REPORT_TIMEOUT);
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            return CompletableFuture.failedFuture(fault);
        }
    }

    private void handleAnswerIfCurrent(
            long number, String recipient, long sentNanos, Message answer) {
        if (number == reportNumber) {
            handleAnswer(recipient, sentNanos, answer);
        }
    }

    private void handleAnswer(String recipient, long sentNanos, Message answer) {
        reportInFlight = false;
        if (answer instanceof GatewayUpdate update) {
            setLeader(recipient);
            controlInstances.clear();
            controlInstances.addAll(update.controlInstances());
            final boolean actionsRan = actionsAwaitingAnswer > 0;
            runGuarded(() -> updates.updated(update, sentNanos));
            runPendingActions();
            scheduleNext(actionsRan);
            return;
        }
        runPendingActions();
        if (recipient.equals(leader)) {
            setLeader("");
        }
        if (answer instanceof ControlHint hint) {
            controlInstances.addAll(hint.controlInstances());
            target =
                    hint.leader().isEmpty() || hint.leader().equals(recipient)
                            ? nextControlInstance(recipient)
                            : hint.leader();
        } else {
            target = nextControlInstance(recipient);
        }
        schedule(SEARCH_DELAY_MILLIS);
    }

    /**
     * Runs the actions that were registered before this report was sent; later ones wait for the
     * next report.
     */
    private void runPendingActions() {
        final List<Runnable> due =
                new ArrayList<>(pendingActions.subList(0, actionsAwaitingAnswer));
        pendingActions.subList(0, actionsAwaitingAnswer).clear();
        actionsAwaitingAnswer = 0;
        due.forEach(LeaderLink::runGuarded);
    }

    /** Runs a step whose failure must not end the reports. */
    private static void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
        }
    }

    private void setLeader(String name) {
        if (!leader.equals(name)) {
            EventLine.of(name.isEmpty() ? "leader-lost" : "leader-found")
                    .with("leader", name.isEmpty() ? leader : name)
                    .info();
            leader = name;
        }
    }

    private String nextControlInstance(String after) {
        final List<String> names = new ArrayList<>(controlInstances);
        return names.isEmpty() ? after : names.get((names.indexOf(after) + 1) % names.size());
    }

    private void scheduleNext(boolean actionsRan) {
        final long delayMillis =
                actionsRan ? TOKEN_RETURN_REPORT_DELAY_MILLIS : regularIntervalMillis();
        schedule(reportRequested ? MINIMUM_REPORT_INTERVAL_MILLIS : delayMillis);
    }

    private long regularIntervalMillis() {
        try {
            return needsFrequentReports.getAsBoolean()
                    ? FREQUENT_REPORT_INTERVAL_MILLIS
                    : REPORT_INTERVAL_MILLIS;
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            return REPORT_INTERVAL_MILLIS;
        }
    }

    private void schedule(long delayMillis) {
        if (timer != null) {
            timer.cancel(false);
        }
        if (!stopped) {
            timer = loop.schedule(this::report, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Receives the leader's updates. */
    interface UpdateListener {
        /**
         * Handles an update.
         *
         * @param sentNanos time at which the answered report was sent
         */
        void updated(GatewayUpdate update, long sentNanos);
    }
}
