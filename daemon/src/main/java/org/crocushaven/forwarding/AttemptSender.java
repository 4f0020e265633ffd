package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.outbound.BackendChannel;
import org.crocushaven.outbound.ConnectionTry;
import org.crocushaven.result.ResultException;

/** Sends the attempts of one request to their backend servers. Used on the event loop only. */
final class AttemptSender {
    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final ByteBuf body;
    private final RequestAdmission admission;
    private final RequestForwarding forwarding;

    /**
     * Creates the sender of one request.
     *
     * @param forwarding is told of each attempt that was sent or cannot be sent
     */
    AttemptSender(
            ForwardingEnvironment environment,
            IngressRequest request,
            ByteBuf body,
            RequestAdmission admission,
            RequestForwarding forwarding) {
        this.environment = environment;
        this.request = request;
        this.body = body;
        this.admission = admission;
        this.forwarding = forwarding;
    }

    /** Sends an attempt on an idle connection or a new one. */
    void send(BackendAttempt attempt) {
        final BackendRecord backend = attempt.target().backend();
        environment
                .connectionFor(
                        request,
                        new InetSocketAddress(backend.host(), backend.port()),
                        !admission.route().isRetryable())
                .whenComplete(
                        (channel, failure) -> {
                            try {
                                connected(attempt, channel, failure);
                            } catch (RuntimeException fault) {
                                forwarding.sendFaulted(attempt, fault);
                            }
                        });
    }

    private void connected(BackendAttempt attempt, BackendChannel channel, Throwable failure) {
        final BackendRecord backend = attempt.target().backend();
        if (failure != null) {
            environment.paths().connectionFailed(backend, environment.nowNanos());
            if (ConnectionTry.isRefusal(failure.getCause())) {
                environment.doubt(backend);
            }
            forwarding.handleFailure(attempt, false, "no connection");
        } else if (forwarding.isStale(attempt) || forwarding.remainingMillis() <= 0) {
            channel.close();
        } else if (!environment.view().trySend(backend, environment.nowNanos())) {
            channel.close();
            forwarding.withdraw(attempt);
        } else {
            sendUnlessRefused(channel, attempt);
        }
    }

    private void sendUnlessRefused(BackendChannel channel, BackendAttempt attempt) {
        final Optional<ResultException> refusal = forwarding.refusalNow();
        if (refusal.isPresent()) {
            channel.close();
            forwarding.refuseUnsent(attempt, refusal.get());
        } else {
            sendOn(channel, attempt);
        }
    }

    private void sendOn(BackendChannel channel, BackendAttempt attempt) {
        attempt.sending(channel, environment.nowNanos());
        final String backend = attempt.target().backend().backend();
        final int requestsAtBackend = environment.view().requestsAt(backend);
        environment
                .observer()
                .sent(request, attempt.target().backend(), attempt.number(), requestsAtBackend);
        reportIfLeaving(attempt);
        request.usage()
                .ifPresent(
                        usage ->
                                environment
                                        .view()
                                        .loads()
                                        .recordPrompt(
                                                backend,
                                                usage.promptTokens(),
                                                environment.nowNanos()));
        channel.send(
                request.requestId(),
                new BackendRequestFactory(environment)
                        .create(
                                request,
                                body,
                                admission,
                                attempt.target(),
                                forwarding.remainingMillis(),
                                forwarding.lastEventId()),
                attempt);
        forwarding.attemptSent(attempt, requestsAtBackend);
    }

    /** Reports a send to a backend server that does not accept requests any more. */
    private void reportIfLeaving(BackendAttempt attempt) {
        final String backend = attempt.target().backend().backend();
        final Optional<BackendRecord> known = environment.view().find(backend);
        if (known.filter(BackendRecord::acceptsRequests).isEmpty()) {
            environment
                    .observer()
                    .sentToLeaving(
                            request,
                            backend,
                            known.map(record -> record.state().toString()).orElse("unknown"),
                            TimeUnit.NANOSECONDS.toMillis(
                                    environment.nowNanos() - forwarding.arrivedNanos()),
                            forwarding.adapterWaitMillis());
        }
    }
}
