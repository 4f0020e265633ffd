package org.crocushaven.once;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Submits commands to the replicated claim table. */
@FunctionalInterface
public interface ClaimClient {
    /**
     * Proposes a command and completes with the decision once a majority has committed and synced
     * the command. Fails with a {@code ResultException}, whose execution tells whether the command
     * may still be committed later.
     */
    CompletableFuture<ClaimDecision> submit(ClaimCommand command);

    /**
     * Returns a client that uses a function which proposes encoded commands to the group of the
     * table.
     */
    static ClaimClient over(Function<byte[], CompletableFuture<byte[]>> proposer) {
        return command -> proposer.apply(command.encode()).thenApply(ClaimDecision::decode);
    }
}
