package org.crocushaven.admission;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * State of a holder's bucket for one organisation after a grant.
 *
 * @param organisation the organisation
 * @param tokensPerSecond rate of the bucket
 * @param capacity capacity of the bucket
 * @param addedTokens tokens moved from the pool into the bucket
 * @param organisationTokensPerSecond total rate of the organisation
 * @param organisationBurst total burst of the organisation
 * @param poolTokens tokens left in the pool, for estimates only
 * @param returningTokens tokens of requests that take up streams and that other holders expect
 *     back; 0 from software without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ShareChange(
        String organisation,
        double tokensPerSecond,
        double capacity,
        double addedTokens,
        double organisationTokensPerSecond,
        double organisationBurst,
        double poolTokens,
        double returningTokens) {
    /** Returns the change that removes the bucket. */
    static ShareChange none(String organisation) {
        return new ShareChange(organisation, 0, 0, 0, 0, 0, 0, 0);
    }
}
