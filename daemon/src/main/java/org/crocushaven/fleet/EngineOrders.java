package org.crocushaven.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.observability.EventLine;
import org.crocushaven.outbound.BackendCall;
import org.crocushaven.result.ResultException;

/**
 * Gives orders to one engine, one at a time, in the order in which they were asked for.
 *
 * <p>Each order names how many the engine has accepted before, so that an order that was left
 * unanswered and is carried out late cannot follow a newer one. Used on one event loop only.
 */
final class EngineOrders {
    /** Time after which an order counts as unanswered; a round trip takes a few milliseconds. */
    private static final long ORDER_TIMEOUT_MILLIS = 150;

    private static final long REPORT_TIMEOUT_MILLIS = 400;

    /** What an engine reports may be older than its last order by some hundred milliseconds. */
    private static final long REPORT_LAG_MILLIS = 250;

    private final BackendAnnouncement backend;
    private final EngineOrderContext context;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final OrderSequence sequence = new OrderSequence();
    private boolean underWay;
    private boolean fenced;
    private boolean closed;

    /** Creates the giver of orders to one start of an engine. */
    EngineOrders(BackendAnnouncement backend, EngineOrderContext context) {
        this.backend = backend;
        this.context = context;
    }

    /** Gives an order once those before it are answered; never fails. */
    CompletableFuture<OrderOutcome> give(EngineOrder order) {
        final CompletableFuture<OrderOutcome> outcome = new CompletableFuture<>();
        if (fenced || closed) {
            outcome.complete(OrderOutcome.FENCED);
        } else {
            waiting.add(new Waiting(order, outcome));
            next();
        }
        return outcome;
    }

    /** Returns whether orders go to this start of a backend server. */
    boolean isFor(BackendAnnouncement announcement) {
        return backend.startedMillis() == announcement.startedMillis()
                && backend.address().equals(announcement.address());
    }

    /**
     * Asks the engine what it holds; empty when it does not answer, when orders are under way, or
     * when the answer is from before the last order, or before one that waits by now. Never fails.
     */
    CompletableFuture<Optional<EngineReport>> verify() {
        if (isBusy() || closed) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        underWay = true;
        return report().handle((report, failure) -> verified(report, failure == null));
    }

    private Optional<EngineReport> verified(EngineReport report, boolean answered) {
        final boolean current =
                answered && waiting.isEmpty() && sequence.isCurrent(report.sequence());
        if (current) {
            sequence.reported(report.sequence());
        }
        underWay = false;
        next();
        return current ? Optional.of(report) : Optional.empty();
    }

    private CompletableFuture<EngineReport> report() {
        return BackendCall.make(
                        context.pool(),
                        context.loop(),
                        address(),
                        context.dialect().encodeReportQuestion(backend.backend()),
                        REPORT_TIMEOUT_MILLIS)
                .thenApply(answer -> context.dialect().decodeReport(answer.body()));
    }

    /** Gives no more orders. */
    void close() {
        closed = true;
        waiting.forEach(order -> order.outcome.complete(OrderOutcome.FENCED));
        waiting.clear();
    }

    /** Returns whether an order is under way or waits. */
    boolean isBusy() {
        return underWay || !waiting.isEmpty();
    }

    private void next() {
        if (underWay || waiting.isEmpty()) {
            return;
        }
        underWay = true;
        if (sequence.expected().isPresent()) {
            send(waiting.poll());
        } else {
            learnSequence();
        }
    }

    private void learnSequence() {
        report().whenComplete(
                        (report, failure) -> {
                            if (failure == null) {
                                sequence.reported(report.sequence());
                            }
                            final Waiting order = waiting.poll();
                            if (order == null) {
                                underWay = false;
                            } else if (failure == null) {
                                send(order);
                            } else {
                                finish(order, OrderOutcome.REFUSED);
                            }
                        });
    }

    private void send(Waiting order) {
        if (!context.mayOrder().getAsBoolean()) {
            finish(order, OrderOutcome.REFUSED);
            return;
        }
        BackendCall.make(
                        context.pool(),
                        context.loop(),
                        address(),
                        context.dialect()
                                .encodeOrder(
                                        backend.backend(),
                                        order.order,
                                        new OrderFence(
                                                context.holder(),
                                                context.token(),
                                                sequence.expected())),
                        ORDER_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                answered(
                                        order,
                                        failure == null
                                                ? context.dialect()
                                                        .decodeOrderAnswer(answer.status())
                                                : outcomeOf(failure)));
    }

    /** Gives an order again when only the count that it expected was one too low. */
    private void answered(Waiting order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.CONFLICT && sequence.refused()) {
            send(order);
        } else {
            finish(order, outcome);
        }
    }

    private void finish(Waiting order, OrderOutcome outcome) {
        final OptionalLong known = sequence.expected();
        if (outcome != OrderOutcome.ACCEPTED && outcome != OrderOutcome.HOLDS) {
            EventLine.of("order-not-accepted")
                    .with("backend", backend.backend())
                    .with("operation", order.order.operation())
                    .with("adapter", order.order.model() + '/' + order.order.adapter())
                    .with("sequence", known.isPresent() ? known.getAsLong() : "unknown")
                    .with("outcome", outcome)
                    .info();
        }
        learn(order.order, outcome);
        order.outcome.complete(outcome);
        if (sequence.expected().isPresent() || fenced) {
            underWay = false;
            next();
        } else {
            context.loop()
                    .schedule(
                            () -> {
                                underWay = false;
                                next();
                            },
                            REPORT_LAG_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void learn(EngineOrder order, OrderOutcome outcome) {
        switch (outcome) {
            case ACCEPTED -> sequence.counted();
            case HOLDS -> {
                if (order.operation() == EngineOrder.Operation.UNLOAD) {
                    sequence.counted();
                }
            }
            case UNKNOWN -> sequence.unanswered();
            case FENCED -> {
                fenced = true;
                close();
            }
            default -> sequence.forget();
        }
    }

    private static OrderOutcome outcomeOf(Throwable failure) {
        final boolean notSent =
                failure instanceof ResultException result
                        && result.execution() == org.crocushaven.result.Execution.NOT_RUN;
        return notSent ? OrderOutcome.REFUSED : OrderOutcome.UNKNOWN;
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(backend.host(), backend.port());
    }

    private record Waiting(EngineOrder order, CompletableFuture<OrderOutcome> outcome) {}
}
