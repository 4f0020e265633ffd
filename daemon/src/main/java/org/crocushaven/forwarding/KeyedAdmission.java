package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.crocushaven.admission.Charge;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Decides whether a request may run: by its key, the freshness of the control state, and the rate
 * of its organisation. Not thread-safe.
 */
final class KeyedAdmission {
    private final ControlFreshness freshness;
    private final ShareHolder shares;

    private KeyedAdmission(ControlFreshness freshness, ShareHolder shares) {
        this.freshness = freshness;
        this.shares = shares;
    }

    /** Returns the admission of a gateway that has no shares of the organisations' rates yet. */
    static KeyedAdmission of(ControlFreshness freshness, long incarnation) {
        return new KeyedAdmission(freshness, ShareHolder.create(incarnation));
    }

    /**
     * Returns the organisation of a request, or empty when its route needs no key.
     *
     * @throws ResultException when the key is missing or unknown, or the control state is not fresh
     */
    Optional<KeyedOrganisation> identify(
            IngressConfiguration configuration,
            IngressRoute route,
            IngressRequest request,
            long nowNanos) {
        if (route.open() || !configuration.needsKeys()) {
            return Optional.empty();
        }
        requireFresh(nowNanos);
        if (request.key().isEmpty()) {
            throw ResultException.of(ResultCode.KEY_MISSING);
        }
        final Optional<KeyedOrganisation> organisation =
                configuration.organisationOf(request.key().get());
        if (organisation.isEmpty()) {
            throw ResultException.of(ResultCode.KEY_UNKNOWN);
        }
        return organisation;
    }

    /**
     * Requires that the control state is fresh.
     *
     * @throws ResultException with {@code CONTROL_STATE_STALE} when it is not
     */
    void requireFresh(long nowNanos) {
        if (!freshness.isFresh(nowNanos)) {
            throw ResultException.of(ResultCode.CONTROL_STATE_STALE, freshness.ageMillis(nowNanos))
                    .withRetryAfter(freshness.retryDelay(nowNanos));
        }
    }

    /**
     * Charges a request to its organisation.
     *
     * <p>When a charge is not granted and {@link Charge#poolMayHaveTokens} holds, it should be
     * tried again after the leader's next answer.
     */
    Charge charge(KeyedOrganisation organisation, IngressRequest request, long nowNanos) {
        return shares.tryCharge(organisation.name(), organisation.chargeOf(request), nowNanos);
    }

    /** Returns the refusal of a request whose charge was not granted; call once for each. */
    ResultException refusal(Charge charge, boolean takesUpStream, long nowNanos) {
        final Duration retryAfter =
                charge.code() == ResultCode.SHARE_UNAVAILABLE
                        ? freshness.retryDelay(nowNanos)
                        : Duration.ofNanos(
                                takesUpStream
                                        ? shares.streamReturnDelayNanos(charge, nowNanos)
                                        : charge.retryAfterNanos());
        return ResultException.of(
                        charge.code() == ResultCode.REQUEST_EXCEEDS_BURST
                                ? ResultCode.RATE_EXCEEDED
                                : charge.code(),
                        charge.organisation(),
                        charge.tokens())
                .withRetryAfter(retryAfter);
    }

    /** Refunds the charge of a request that did not run. */
    void refund(Charge charge, long nowNanos) {
        shares.settle(charge, 0, nowNanos);
    }

    /** Returns whether missing tokens should be reported to the leader at once. */
    boolean reportIsUrgent() {
        return shares.reportIsUrgent();
    }

    /** Returns the report on this gateway's shares. */
    ShareReport report(long nowNanos) {
        return shares.report(nowNanos);
    }

    /** Applies the leader's answer to a report. */
    void apply(ShareGrant grant, long nowNanos) {
        shares.apply(grant, nowNanos);
    }

    /**
     * Discards everything that depends on leases: the freshness of the control state and the
     * shares.
     */
    void invalidate(long nowNanos) {
        freshness.invalidate(nowNanos);
        shares.dropAll(nowNanos);
    }
}
