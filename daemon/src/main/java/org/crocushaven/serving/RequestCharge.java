package org.crocushaven.serving;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.crocushaven.admission.Charge;
import org.crocushaven.configuration.Organisation;

/** Charges the tokens of one request to its organisation and settles the charge once. */
final class RequestCharge {
    private final ShareGate shares;
    private final AtomicReference<Charge> unsettled = new AtomicReference<>();
    private volatile long tokens;

    RequestCharge(ShareGate shares) {
        this.shares = shares;
    }

    /** Charges tokens. Fails with execution {@code NOT_RUN}. */
    CompletableFuture<Void> charge(Organisation organisation, long requestedTokens) {
        return shares.charge(organisation, requestedTokens)
                .thenAccept(
                        granted -> {
                            unsettled.set(granted);
                            tokens = granted.tokens();
                        });
    }

    /** Returns the number of tokens charged, which is final once the charge is settled. */
    long tokens() {
        return tokens;
    }

    /** Settles the charge with the number of tokens used; has no effect when nothing is charged. */
    void settle(long usedTokens) {
        final Optional<Charge> charge = Optional.ofNullable(unsettled.getAndSet(null));
        if (charge.isPresent()) {
            tokens = usedTokens;
        }
        shares.settle(charge, usedTokens);
    }
}
