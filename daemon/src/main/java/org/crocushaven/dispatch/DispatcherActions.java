package org.crocushaven.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.backend.BackendClient;
import org.crocushaven.coordination.LoadRelease;
import org.crocushaven.placement.DispatcherAction;
import org.crocushaven.placement.PermitOutcome;
import org.crocushaven.protocol.Failures;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;

/**
 * Executes the actions of dispatchers: answers permit requests, sends load and unload orders to
 * backend servers, and sends load requests to the leader.
 *
 * <p>Called without holding a lock. After the session has expired, no permit is granted and no
 * order is sent.
 */
final class DispatcherActions {
    private final PeerTransport transport;
    private final BackendClient backends;
    private final BooleanSupplier sessionIsValid;
    private final Supplier<Optional<String>> leader;
    private final DispatchListener listener;
    private final NanoClock clock;

    DispatcherActions(
            PeerTransport transport,
            BackendClient backends,
            BooleanSupplier sessionIsValid,
            Supplier<Optional<String>> leader,
            DispatchListener listener,
            NanoClock clock) {
        this.transport = transport;
        this.backends = backends;
        this.sessionIsValid = sessionIsValid;
        this.leader = leader;
        this.listener = listener;
        this.clock = clock;
    }

    /** Executes one action of a dispatcher. */
    void execute(HostedDispatcher hosted, DispatcherAction action) {
        if (action instanceof DispatcherAction.GrantPermit grant) {
            grant(hosted, grant);
        } else if (action instanceof DispatcherAction.RefusePermit refuse) {
            hosted.takePendingAnswer(refuse.requestId())
                    .complete(
                            new PermitAnswer(
                                    refuse.code().number(),
                                    TimeUnit.NANOSECONDS.toMillis(refuse.retryAfterNanos()),
                                    0,
                                    hosted.fencingNumber(),
                                    false));
        } else if (action instanceof DispatcherAction.RequestLoadGrant ask) {
            sendToLeader(
                    new LoadRequest(
                            hosted.server().name(),
                            ask.version(),
                            ask.organisation(),
                            ask.weight(),
                            ask.priority(),
                            ask.waiting()));
        } else if (action instanceof DispatcherAction.WithdrawLoadRequest withdraw) {
            sendToLeader(new LoadRelease(hosted.server().name(), withdraw.version(), false));
        } else if (action instanceof DispatcherAction.ReleaseLoadGrant release) {
            sendToLeader(new LoadRelease(hosted.server().name(), release.version(), true));
        } else if (action instanceof DispatcherAction.OrderLoad load) {
            orderLoad(hosted, load);
        } else if (action instanceof DispatcherAction.OrderUnload unload) {
            orderUnload(hosted, unload);
        }
    }

    private void grant(HostedDispatcher hosted, DispatcherAction.GrantPermit grant) {
        final boolean valid = sessionIsValid.getAsBoolean();
        hosted.recordPermitHolder(grant.holder(), clock.nanoTime());
        hosted.takePendingAnswer(grant.requestId())
                .complete(
                        valid
                                ? new PermitAnswer(
                                        ResultCode.OK.number(),
                                        0,
                                        grant.incarnation(),
                                        hosted.fencingNumber(),
                                        grant.waitedForLoad())
                                : PermitAnswer.refusal(ResultCode.NOT_DISPATCHER));
        if (!valid) {
            hosted.run(
                    dispatcher ->
                            dispatcher.returnPermit(
                                    grant.requestId(), PermitOutcome.NOT_SENT, clock.nanoTime()));
        }
    }

    private void orderLoad(HostedDispatcher hosted, DispatcherAction.OrderLoad order) {
        final long startNanos = clock.nanoTime();
        sendOrder(() -> backends.load(hosted.server(), order.version(), order.fencingNumber()))
                .thenAccept(
                        code -> {
                            listener.loadEnded(
                                    hosted.server(),
                                    order.version(),
                                    code,
                                    clock.nanoTime() - startNanos);
                            hosted.run(
                                    dispatcher ->
                                            dispatcher.loadFinished(
                                                    order.version(), code, clock.nanoTime()));
                        });
    }

    private void orderUnload(HostedDispatcher hosted, DispatcherAction.OrderUnload order) {
        sendOrder(() -> backends.unload(hosted.server(), order.version(), order.fencingNumber()))
                .thenAccept(
                        code -> {
                            listener.unloadEnded(hosted.server(), order.version(), code);
                            hosted.run(
                                    dispatcher ->
                                            dispatcher.unloadFinished(
                                                    order.version(), code, clock.nanoTime()));
                        });
    }

    private CompletableFuture<ResultCode> sendOrder(Supplier<CompletableFuture<Void>> order) {
        if (!sessionIsValid.getAsBoolean()) {
            return CompletableFuture.completedFuture(ResultCode.SESSION_EXPIRED);
        }
        return order.get()
                .thenApply(done -> ResultCode.OK)
                .exceptionally(failure -> Failures.toResultException(failure).code());
    }

    private void sendToLeader(Message message) {
        leader.get().ifPresent(instance -> transport.send(instance, message));
    }
}
