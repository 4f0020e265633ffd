package org.crocushaven.coordination;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Proposes idempotent commands to the current leader of a group. */
public final class ProposalClient {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_000);

    private final LeaderClient client;

    private ProposalClient(LeaderClient client) {
        this.client = client;
    }

    /** Returns a client that sends proposals through the given leader client. */
    public static ProposalClient over(LeaderClient client) {
        return new ProposalClient(client);
    }

    /**
     * Proposes a command and completes with the state machine's result; fails as {@link
     * LeaderClient#request} does.
     */
    public CompletableFuture<byte[]> propose(int groupId, byte[] command, Duration totalTimeout) {
        return client.request(
                        groupId,
                        new ProposalForward(groupId, command),
                        ATTEMPT_TIMEOUT,
                        totalTimeout)
                .thenApply(answer -> ((ProposalResult) answer).result());
    }
}
