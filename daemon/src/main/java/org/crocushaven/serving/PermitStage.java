package org.crocushaven.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.dispatch.PermitAnswer;
import org.crocushaven.dispatch.PermitAsk;
import org.crocushaven.protocol.Failures;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Requests the permit for one request to an engine, and translates refusals for the caller. */
final class PermitStage {
    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofMillis(500);

    private final ServingEnvironment environment;
    private final RequestProgress progress;
    private final ResolvedTarget target;
    private final Optional<Organisation> organisation;

    PermitStage(
            ServingEnvironment environment,
            RequestProgress progress,
            ResolvedTarget target,
            Optional<Organisation> organisation) {
        this.environment = environment;
        this.progress = progress;
        this.target = target;
        this.organisation = organisation;
    }

    /**
     * Requests a permit from the dispatcher of a backend server. Fails with execution {@code
     * NOT_RUN}.
     *
     * @return whether a permit was granted; false when no dispatcher answers but the version is
     *     resident, so that the request may be sent without a permit
     */
    CompletableFuture<Boolean> requestPermit(
            BackendServer server,
            String dispatcher,
            String permitId,
            int urgency,
            long remainingNanos) {
        final long askedNanos = environment.clock().nanoTime();
        final PermitAsk ask =
                new PermitAsk(
                        server.name(),
                        permitId,
                        organisation.map(Organisation::name).orElse(""),
                        organisation.map(Organisation::weight).orElse(1),
                        target.version(),
                        target.tokens(),
                        urgency,
                        remainingNanos,
                        askedNanos - progress.arrivalNanos());
        return environment
                .permits()
                .requestPermit(dispatcher, ask)
                .handle(
                        (permit, failure) -> {
                            progress.recordPermitAnswer(
                                    askedNanos, permit != null && permit.waitedForLoad());
                            return decide(server, permit, failure);
                        });
    }

    private boolean decide(BackendServer server, PermitAnswer permit, Throwable failure) {
        final ResultCode code =
                failure == null
                        ? ResultCode.fromNumber(permit.code()).orElse(ResultCode.INTERNAL)
                        : Failures.toResultException(failure).code();
        if (code == ResultCode.OK) {
            return true;
        }
        if (target.resident() && isDispatcherMissing(code)) {
            return false;
        }
        throw refusal(server, code)
                .withRetryAfter(
                        permit == null
                                ? UNREACHABLE_RETRY_AFTER
                                : Duration.ofMillis(permit.retryAfterMillis()));
    }

    private ResultException refusal(BackendServer server, ResultCode code) {
        return switch (code) {
            case QUEUE_FULL -> ResultException.of(code, server.name());
            case ADAPTER_LOAD_FAILED ->
                    ResultException.of(
                            code, target.version().map(AdapterVersion::toString).orElse(""));
            case DEADLINE_UNREACHABLE ->
                    ResultException.of(code, TimeUnit.NANOSECONDS.toMillis(progress.permitNanos()));
            case NO_BACKEND_SERVER -> ResultException.of(code, target.service().name());
            case NOT_DISPATCHER, PEER_UNREACHABLE ->
                    ResultException.of(ResultCode.NO_DISPATCHER, target.service().name());
            default -> ResultException.of(code).withExecution(Execution.NOT_RUN);
        };
    }

    private static boolean isDispatcherMissing(ResultCode code) {
        return code == ResultCode.NOT_DISPATCHER || code == ResultCode.PEER_UNREACHABLE;
    }
}
