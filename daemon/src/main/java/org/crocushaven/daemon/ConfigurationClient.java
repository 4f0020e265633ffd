package org.crocushaven.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.coordination.ProposalClient;
import org.crocushaven.protocol.Failures;
import org.crocushaven.publishing.ChangeCodec;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Submits numbered changes to the leader of the configuration group; a change that is submitted
 * again gets the answer to its first submission.
 */
final class ConfigurationClient {
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(8);

    private final ProposalClient proposals;
    private final ChangeCodec codec = new ChangeCodec();

    ConfigurationClient(ProposalClient proposals) {
        this.proposals = proposals;
    }

    /**
     * Submits a change; completes with the committed answer, fails if the change was not committed
     * or its outcome is unknown.
     */
    CompletableFuture<ChangeAnswer> submit(NumberedChange change) {
        return proposals
                .propose(ControlGroups.CONFIGURATION, codec.encodeChange(change), PROPOSAL_TIMEOUT)
                .thenApply(this::decode)
                .exceptionallyCompose(
                        failure -> CompletableFuture.failedFuture(translate(failure)));
    }

    private ChangeAnswer decode(byte[] answer) {
        try {
            return codec.decodeAnswer(answer);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static ResultException translate(Throwable failure) {
        final ResultException result = Failures.toResultException(failure);
        return result.code() == ResultCode.PROPOSAL_OUTCOME_UNKNOWN
                ? ResultException.of(ResultCode.CHANGE_OUTCOME_UNKNOWN)
                : result;
    }
}
