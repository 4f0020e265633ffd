package org.crocushaven.once;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.agrona.concurrent.EpochClock;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Claims one call that may run at most once, and records its progress in the claim table.
 *
 * <p>The methods are called in the order {@link #claim}, {@link #startSending} right before the
 * first byte, then one of {@link #complete}, {@link #release} and {@link #abandon}. Nothing may be
 * sent unless {@code startSending} was granted. Nothing may be sent after {@code release}, which is
 * also called when {@code claim} or {@code startSending} fails.
 */
public final class AtMostOnceExecution {
    private static final int MAXIMUM_SUBMISSIONS = 120;

    private final ClaimClient client;
    private final ClaimKey key;
    private final ClaimId claimId;
    private final EpochClock clock;
    private final Executor retryExecutor;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.NEW);

    private AtMostOnceExecution(
            ClaimClient client,
            ClaimKey key,
            ClaimId claimId,
            EpochClock clock,
            Executor retryExecutor) {
        this.client = client;
        this.key = key;
        this.claimId = claimId;
        this.clock = clock;
        this.retryExecutor = retryExecutor;
    }

    /**
     * Returns an execution that has not claimed its call yet.
     *
     * @param claimId identifier that no other attempt has, including those of earlier processes
     * @param retryExecutor runs the retries of commands that end a claim, each after a delay
     */
    public static AtMostOnceExecution create(
            ClaimClient client,
            ClaimKey key,
            ClaimId claimId,
            EpochClock clock,
            Executor retryExecutor) {
        return new AtMostOnceExecution(client, key, claimId, clock, retryExecutor);
    }

    /**
     * Claims the call. A decision other than granted determines the answer to the caller.
     *
     * <p>Fails with {@code CLAIM_UNAVAILABLE}, not run, when no quorum can be reached.
     */
    public CompletableFuture<ClaimDecision> claim(byte[] digest) {
        advance(Phase.NEW, Phase.CLAIMING);
        return client.submit(ClaimCommand.claim(key, claimId, digest, clock.time()))
                .handle((decision, failure) -> applyDecision(Phase.CLAIMED, decision, failure))
                .thenCompose(Function.identity());
    }

    /**
     * Records that bytes may be sent from now on. They may be sent only after a granted decision.
     *
     * <p>Fails with {@code CLAIM_UNAVAILABLE}, not run, when no quorum can be reached.
     */
    public CompletableFuture<ClaimDecision> startSending() {
        advance(Phase.CLAIMED, Phase.STARTING);
        return client.submit(ClaimCommand.send(key, claimId, clock.time()))
                .handle((decision, failure) -> applyDecision(Phase.SENDING, decision, failure))
                .thenCompose(Function.identity());
    }

    /** Stores the answer of a call that ran. */
    public CompletableFuture<Void> complete(byte[] answer) {
        advance(Phase.SENDING, Phase.ENDED);
        return endClaim(now -> ClaimCommand.complete(key, claimId, answer, now));
    }

    /** Releases the claim of a call for which it is certain that no byte was sent. */
    public CompletableFuture<Void> release() {
        final Phase before = phase.getAndSet(Phase.ENDED);
        return before == Phase.NEW || before == Phase.ENDED
                ? CompletableFuture.completedFuture(null)
                : endClaim(now -> ClaimCommand.release(key, claimId, now));
    }

    /** Abandons a call that may have run; it is not repeated. */
    public CompletableFuture<Void> abandon() {
        advance(Phase.SENDING, Phase.ENDED);
        return endClaim(now -> ClaimCommand.abandon(key, claimId, now));
    }

    /**
     * Ends the attempt unless the decision is granted. After a failure the claim is released,
     * because the command may still be committed.
     */
    private CompletableFuture<ClaimDecision> applyDecision(
            Phase granted, ClaimDecision decision, Throwable failure) {
        if (failure != null) {
            release();
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.CLAIM_UNAVAILABLE)
                            .withExecution(Execution.NOT_RUN));
        }
        if (!decision.isGranted()) {
            phase.set(Phase.ENDED);
        } else if (!phase.compareAndSet(precedingPhase(granted), granted)) {
            return CompletableFuture.completedFuture(
                    ClaimDecision.of(ClaimDecision.Kind.SUPERSEDED));
        }
        return CompletableFuture.completedFuture(decision);
    }

    private CompletableFuture<Void> endClaim(LongFunction<ClaimCommand> command) {
        return submitUntilAnswered(command, 1);
    }

    /**
     * Submits a command that ends the claim until one submission succeeds, at most {@link
     * #MAXIMUM_SUBMISSIONS} times. Such commands are idempotent.
     */
    private CompletableFuture<Void> submitUntilAnswered(
            LongFunction<ClaimCommand> command, int submissionNumber) {
        return client.submit(command.apply(clock.time()))
                .handle(
                        (decision, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.<Void>completedFuture(null);
                            }
                            if (submissionNumber == MAXIMUM_SUBMISSIONS) {
                                return CompletableFuture.<Void>failedFuture(failure);
                            }
                            return CompletableFuture.supplyAsync(
                                            () ->
                                                    submitUntilAnswered(
                                                            command, submissionNumber + 1),
                                            retryExecutor)
                                    .thenCompose(Function.identity());
                        })
                .thenCompose(Function.identity());
    }

    private void advance(Phase from, Phase to) {
        if (!phase.compareAndSet(from, to)) {
            throw new IllegalStateException(
                    "claim execution is in phase " + phase.get() + ", expected " + from);
        }
    }

    private static Phase precedingPhase(Phase granted) {
        return granted == Phase.CLAIMED ? Phase.CLAIMING : Phase.STARTING;
    }

    private enum Phase {
        NEW,
        CLAIMING,
        CLAIMED,
        STARTING,
        SENDING,
        ENDED
    }
}
