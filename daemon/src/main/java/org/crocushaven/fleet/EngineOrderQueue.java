package org.crocushaven.fleet;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.crocushaven.observability.EventLine;
import org.crocushaven.outbound.BackendCall;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends orders to one engine, one at a time, in the order in which they were submitted.
 *
 * <p>Each order carries the number of orders that the engine has accepted before, so that an
 * unanswered order that is carried out late cannot take effect after a newer one. Used on one event
 * loop only.
 */
final class EngineOrderQueue implements EngineOrders {
    /** Timeout of an order; a round trip takes a few milliseconds. */
    private static final long ORDER_TIMEOUT_MILLIS = 150;

    private static final long REPORT_TIMEOUT_MILLIS = 400;

    /**
     * Wait before the sequence is requested again, since a report may lag a few hundred
     * milliseconds behind the last order.
     */
    private static final long REPORT_LAG_MILLIS = 250;

    private final BackendAnnouncement backend;
    private final EngineOrderContext context;
    private final Deque<PendingOrder> pending = new ArrayDeque<>();
    private final OrderSequence sequence = new OrderSequence();
    private boolean inFlight;
    private boolean fenced;
    private boolean closed;

    /** Creates the order queue of one start of an engine. */
    EngineOrderQueue(BackendAnnouncement backend, EngineOrderContext context) {
        this.backend = backend;
        this.context = context;
    }

    @Override
    public CompletableFuture<OrderOutcome> submit(EngineOrder order) {
        final CompletableFuture<OrderOutcome> outcome = new CompletableFuture<>();
        if (fenced || closed) {
            outcome.complete(OrderOutcome.FENCED);
        } else {
            pending.add(new PendingOrder(order, outcome));
            next();
        }
        return outcome;
    }

    @Override
    public boolean isFor(BackendAnnouncement announcement) {
        return backend.startedMillis() == announcement.startedMillis()
                && backend.address().equals(announcement.address());
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> requestReport() {
        if (isBusy() || closed) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        inFlight = true;
        return fetchReport().handle((report, failure) -> reportAnswered(report, failure == null));
    }

    private Optional<EngineReport> reportAnswered(EngineReport report, boolean answered) {
        final boolean current =
                answered && pending.isEmpty() && sequence.isCurrent(report.sequence());
        if (current) {
            sequence.reported(report.sequence());
        }
        inFlight = false;
        next();
        return current ? Optional.of(report) : Optional.empty();
    }

    private CompletableFuture<EngineReport> fetchReport() {
        return call(
                        () -> context.dialect().encodeReportRequest(backend.backend()),
                        REPORT_TIMEOUT_MILLIS)
                .thenApply(answer -> context.dialect().decodeReport(answer.body()));
    }

    /** Sends a call; the future fails as not run if the call cannot be written. */
    private CompletableFuture<BackendCall.Answer> call(
            Supplier<FullHttpRequest> request, long timeoutMillis) {
        try {
            final FullHttpRequest written = request.get();
            return BackendCall.send(
                    context.pool(),
                    context.loop(),
                    address(),
                    written,
                    timeoutMillis,
                    head -> context.dialect().answeredCall(written, head));
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.INTERNAL, fault.getClass().getSimpleName())
                            .withExecution(Execution.NOT_RUN));
        }
    }

    @Override
    public void close() {
        closed = true;
        pending.forEach(order -> order.outcome.complete(OrderOutcome.FENCED));
        pending.clear();
    }

    @Override
    public boolean isBusy() {
        return inFlight || !pending.isEmpty();
    }

    private void next() {
        if (inFlight || pending.isEmpty()) {
            return;
        }
        inFlight = true;
        if (sequence.expected().isPresent()) {
            send(pending.poll());
        } else {
            fetchSequence();
        }
    }

    private void fetchSequence() {
        fetchReport()
                .whenComplete(
                        (report, failure) -> {
                            if (failure == null) {
                                sequence.reported(report.sequence());
                            }
                            final PendingOrder order = pending.poll();
                            if (order == null) {
                                inFlight = false;
                            } else if (failure == null) {
                                send(order);
                            } else {
                                finish(order, OrderOutcome.REFUSED);
                            }
                        });
    }

    private void send(PendingOrder order) {
        if (!context.mayOrder().getAsBoolean()) {
            finish(order, OrderOutcome.REFUSED);
            return;
        }
        final OrderFence fence =
                new OrderFence(context.holder(), context.token(), sequence.expected());
        call(
                        () -> context.dialect().encodeOrder(backend.backend(), order.order, fence),
                        ORDER_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                answered(
                                        order,
                                        failure == null ? outcomeOf(answer) : outcomeOf(failure)));
    }

    /**
     * Sends an order again with the higher count if it was refused and the count that it expected
     * may have been one too low.
     */
    private void answered(PendingOrder order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.CONFLICT && sequence.refused()) {
            send(order);
        } else {
            finish(order, outcome);
        }
    }

    private void finish(PendingOrder order, OrderOutcome outcome) {
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
        updateSequence(order.order, outcome);
        order.outcome.complete(outcome);
        if (sequence.expected().isPresent() || fenced) {
            inFlight = false;
            next();
        } else {
            context.loop()
                    .schedule(
                            () -> {
                                inFlight = false;
                                next();
                            },
                            REPORT_LAG_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void updateSequence(EngineOrder order, OrderOutcome outcome) {
        switch (outcome) {
            case ACCEPTED -> sequence.counted();
            case HOLDS -> {
                // Unlike a load, an unload is counted although it is answered with HOLDS.
                if (order.operation() == EngineOrder.Operation.UNLOAD) {
                    sequence.counted();
                }
            }
            case UNKNOWN -> sequence.unanswered();
            case FENCED -> {
                fenced = true;
                close();
            }
            default -> sequence.reset();
        }
    }

    private OrderOutcome outcomeOf(BackendCall.Answer answer) {
        try {
            return context.dialect().decodeOrderAnswer(answer.status());
        } catch (RuntimeException fault) {
            EventLine.fault(fault).error();
            return OrderOutcome.UNKNOWN;
        }
    }

    private static OrderOutcome outcomeOf(Throwable failure) {
        final boolean notSent =
                failure instanceof ResultException result
                        && result.execution() == Execution.NOT_RUN;
        return notSent ? OrderOutcome.REFUSED : OrderOutcome.UNKNOWN;
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(backend.host(), backend.port());
    }

    private record PendingOrder(EngineOrder order, CompletableFuture<OrderOutcome> outcome) {}
}
