package org.crocushaven.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.Charge;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Charges requests to the shares of their organisations on this instance, and requests tokens from
 * the leader before it refuses a request.
 *
 * <p>While the leader may have tokens, a request waits for a limited number of share requests,
 * which are spaced in time so that other instances can return tokens. An organisation that exceeds
 * its rate is refused at once.
 *
 * <p>Thread-safe: lock rank 35 guards the holder of the shares.
 */
public final class ShareGate {
    private static final int MAXIMUM_SHARE_REQUESTS = 10;

    private final ShareHolder holder;
    private final NanoClock clock;
    private volatile Supplier<CompletableFuture<Void>> requestFromLeader =
            () -> CompletableFuture.completedFuture(null);

    private ShareGate(ShareHolder holder, NanoClock clock) {
        this.holder = holder;
        this.clock = clock;
    }

    /**
     * Returns a gate without shares; the incarnation must increase with each start of the instance.
     */
    public static ShareGate create(long incarnation, NanoClock clock) {
        return new ShareGate(ShareHolder.create(incarnation), clock);
    }

    /**
     * Sets the function that requests shares from the leader; its future completes when the answer
     * has been applied.
     */
    public void setLeaderRequest(Supplier<CompletableFuture<Void>> leaderRequest) {
        requestFromLeader = leaderRequest;
    }

    /** Returns the share report for the next heartbeat. */
    public ShareReport report() {
        synchronized (holder) {
            return holder.report(clock.nanoTime());
        }
    }

    /**
     * Applies a grant. Tokens that it withdraws are reported to the leader at once, because other
     * instances may be waiting for them.
     */
    public void apply(ShareGrant grant) {
        final boolean hasTokensToGiveBack;
        synchronized (holder) {
            holder.apply(grant, clock.nanoTime());
            hasTokensToGiveBack = holder.reportIsUrgent();
        }
        if (hasTokensToGiveBack) {
            requestFromLeader.get();
        }
    }

    /**
     * Charges tokens. Fails with execution {@code NOT_RUN} and, unless the request exceeds the
     * burst, the time after which to retry.
     */
    CompletableFuture<Charge> charge(Organisation organisation, long tokens) {
        return chargeOrRequestShares(organisation, tokens, MAXIMUM_SHARE_REQUESTS);
    }

    /** Settles a charge with the number of tokens that were used. */
    void settle(Optional<Charge> charge, long usedTokens) {
        charge.ifPresent(
                granted -> {
                    synchronized (holder) {
                        holder.settle(granted, usedTokens, clock.nanoTime());
                    }
                });
    }

    private CompletableFuture<Charge> chargeOrRequestShares(
            Organisation organisation, long tokens, int remainingRequests) {
        final Charge charge;
        synchronized (holder) {
            charge = holder.tryCharge(organisation.name(), tokens, clock.nanoTime());
        }
        if (charge.granted()) {
            return CompletableFuture.completedFuture(charge);
        }
        if (charge.poolMayHaveTokens() && remainingRequests > 0) {
            return requestFromLeader
                    .get()
                    .thenCompose(
                            answered ->
                                    chargeOrRequestShares(
                                            organisation, tokens, remainingRequests - 1));
        }
        return CompletableFuture.failedFuture(refusal(organisation, charge));
    }

    private static ResultException refusal(Organisation organisation, Charge charge) {
        return switch (charge.code()) {
            case REQUEST_EXCEEDS_BURST ->
                    ResultException.of(
                            ResultCode.REQUEST_EXCEEDS_BURST,
                            organisation.name(),
                            charge.tokens(),
                            organisation.burstTokens());
            case SHARE_UNAVAILABLE ->
                    ResultException.of(ResultCode.SHARE_UNAVAILABLE, organisation.name())
                            .withRetryAfter(Duration.ofNanos(charge.retryAfterNanos()));
            default ->
                    ResultException.of(
                                    ResultCode.RATE_EXCEEDED, organisation.name(), charge.tokens())
                            .withRetryAfter(Duration.ofNanos(charge.retryAfterNanos()));
        };
    }
}
