package org.crocushaven.consensus;

import java.util.Optional;
import org.crocushaven.result.ResultException;

/**
 * The result of a voter change.
 *
 * @param changeId id given with the request for the change
 * @param failure reason of a failure; empty when the change is complete
 */
public record VoterChangeResult(long changeId, Optional<ResultException> failure) {}
