package org.crocushaven.serving;

import java.util.concurrent.CompletableFuture;
import org.crocushaven.caller.CallerRequest;

/** Ensures that a non-idempotent call runs at most once. */
public interface AtMostOnceGate {
    /**
     * Claims a call before any byte of it is sent.
     *
     * <p>Completes with a claim under which the call must be run here, or with the stored answer of
     * an earlier run. Fails with execution {@code NOT_RUN} when the call must not be run now.
     */
    CompletableFuture<Claim> claim(String organisation, String service, CallerRequest request);

    /** Claim on a call. */
    interface Claim {
        /** Returns the idempotency key of the call: the one the caller sent, or a generated one. */
        String idempotencyKey();

        /** Returns the answer of an earlier run; null when the call must be run now. */
        StoredAnswer storedAnswer();

        /**
         * Records that bytes may be sent from now on; nothing may be sent before it completes.
         * Completes at once when this was recorded before. Fails with execution {@code NOT_RUN}.
         */
        CompletableFuture<Void> startSending();

        /** Stores the answer; completes within a bounded time, also when storing fails. */
        CompletableFuture<Void> complete(StoredAnswer answer);

        /** Releases the claim of a call for which no byte was sent, so that a resend may run. */
        void release();

        /** Records that the call may have run and that its outcome is unknown. */
        void abandon();
    }
}
