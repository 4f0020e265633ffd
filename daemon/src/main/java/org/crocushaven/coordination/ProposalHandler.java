package org.crocushaven.coordination;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.consensus.ReplicatedGroup;
import org.crocushaven.protocol.Failures;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;

/** Handles the commands and voter changes that other instances forward to this voter. */
public final class ProposalHandler {
    private static final byte[] NO_RESULT = new byte[0];

    private final Map<Integer, ReplicatedGroup> groups;

    private ProposalHandler(Map<Integer, ReplicatedGroup> groups) {
        this.groups = Map.copyOf(groups);
    }

    /** Registers the message handlers for the given groups, which are keyed by group number. */
    public static void attach(PeerTransport transport, Map<Integer, ReplicatedGroup> groups) {
        final ProposalHandler handler = new ProposalHandler(groups);
        transport.registerHandler(
                ProposalForward.class, (sender, forward) -> handler.propose(forward));
        transport.registerHandler(
                VoterChange.class, (sender, change) -> handler.changeVoter(change));
    }

    private CompletableFuture<Message> propose(ProposalForward forward) {
        final ReplicatedGroup group = groups.get(forward.groupId());
        if (group == null) {
            return CompletableFuture.completedFuture(new LeaderHint(forward.groupId(), ""));
        }
        return group.propose(forward.command())
                .<Message>thenApply(ProposalResult::new)
                .exceptionallyCompose(failure -> hintOrFailure(group, failure));
    }

    private CompletableFuture<Message> changeVoter(VoterChange change) {
        final ReplicatedGroup group = groups.get(change.groupId());
        if (group == null) {
            return CompletableFuture.completedFuture(new LeaderHint(change.groupId(), ""));
        }
        final CompletableFuture<Void> changed =
                change.add()
                        ? group.addVoter(change.instance())
                        : group.removeVoter(change.instance());
        return changed.<Message>thenApply(done -> new ProposalResult(NO_RESULT))
                .exceptionallyCompose(failure -> hintOrFailure(group, failure));
    }

    private static CompletableFuture<Message> hintOrFailure(
            ReplicatedGroup group, Throwable failure) {
        final ResultCode code = Failures.toResultException(failure).code();
        return code == ResultCode.NOT_LEADER
                ? CompletableFuture.completedFuture(
                        new LeaderHint(group.groupId(), group.leader().orElse("")))
                : CompletableFuture.failedFuture(failure);
    }
}
