package org.crocushaven.once;

import java.util.concurrent.TimeUnit;

/**
 * Limits of a claim table; must be equal on all replicas.
 *
 * @param retentionMillis time for which a claim is kept, in milliseconds
 * @param takeoverMillis time after which another attempt may take over a claim for which nothing
 *     was sent, in milliseconds
 * @param maximumClaims maximum number of claims
 * @param maximumAnswerBytes maximum length of a stored answer, in bytes
 * @param maximumTotalAnswerBytes maximum total length of all stored answers, in bytes
 */
public record ClaimLimits(
        long retentionMillis,
        long takeoverMillis,
        int maximumClaims,
        int maximumAnswerBytes,
        long maximumTotalAnswerBytes) {
    /** Limits for a small instance. */
    public static final ClaimLimits DEFAULT =
            new ClaimLimits(
                    TimeUnit.HOURS.toMillis(24),
                    TimeUnit.MINUTES.toMillis(2),
                    200_000,
                    64 * 1024,
                    64L * 1024 * 1024);
}
