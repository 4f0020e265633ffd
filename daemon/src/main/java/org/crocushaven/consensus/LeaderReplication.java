package org.crocushaven.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocushaven.consensus.ReplicaState.Role;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.LogEntry;

/** Replicates the leader's log: sends entries and heartbeats, commits, and maintains the lease. */
final class LeaderReplication {
    private final ReplicaState state;
    private final SnapshotTransfer snapshots;
    private final Map<String, PeerProgress> peers = new HashMap<>();
    private Optional<String> learner = Optional.empty();
    private long heartbeatDueNanos;

    LeaderReplication(ReplicaState state) {
        this.state = state;
        this.snapshots = new SnapshotTransfer(state);
    }

    /**
     * Starts leading the current term. While some voters are not bound to their storage identities,
     * a leader binds those that voted for it.
     */
    void start(Map<String, Long> votes, long nowNanos) {
        peers.clear();
        learner = Optional.empty();
        state.startLeading(nowNanos);
        final VoterConfiguration configuration = state.log().configuration();
        if (!configuration.isBound()) {
            state.append(EntryKind.CONFIGURATION, configuration.bind(votes).encode());
        }
        state.appendNoOp();
        broadcast(nowNanos);
    }

    /** Sets the replica that receives the log although it is not a voter. */
    void setLearner(Optional<String> name) {
        learner = name;
    }

    PeerProgress peer(String name) {
        return peers.computeIfAbsent(
                name, missing -> new PeerProgress(missing, state.log().lastIndex() + 1));
    }

    /** Returns the names of voters whose replica answers with another storage identity. */
    List<String> foreignVoters() {
        return state.log().configuration().voters().stream()
                .filter(voter -> !voter.name().equals(state.name()) && voter.isBound())
                .filter(
                        voter ->
                                peer(voter.name()).hasContact()
                                        && !peer(voter.name()).hasIdentityOf(voter))
                .map(Voter::name)
                .toList();
    }

    /** Returns the storage identities of the voters that have answered, by name. */
    Map<String, Long> identitiesOfAnswering() {
        return state.log().configuration().names().stream()
                .filter(name -> peer(name).hasContact())
                .collect(Collectors.toMap(Function.identity(), name -> peer(name).identity()));
    }

    /**
     * Returns when the lease ends, or the current time when it has expired. The lease starts at the
     * latest time such that a quorum has answered messages sent at that time or later.
     */
    long leaseEndNanos(long nowNanos) {
        final VoterConfiguration configuration = state.log().configuration();
        final long nanosSinceConfirmation =
                -Quorums.quorumValue(
                        configuration, voter -> -nanosSinceConfirmation(voter, nowNanos));
        return nanosSinceConfirmation > state.timing().leaseNanos()
                ? nowNanos
                : nowNanos - nanosSinceConfirmation + state.timing().leaseNanos();
    }

    boolean holdsLease(long nowNanos) {
        return leaseEndNanos(nowNanos) - nowNanos > 0;
    }

    /** Sends heartbeats; steps down when no quorum has answered within the lease duration. */
    void tick(long nowNanos) {
        final long leadingFor = nowNanos - state.leaderSinceNanos();
        if (leadingFor > state.timing().leaseNanos() && !holdsLease(nowNanos)) {
            state.stepDown();
            return;
        }
        if (nowNanos - heartbeatDueNanos >= 0) {
            broadcast(nowNanos);
        }
    }

    /** Sends new entries to every replica that has no request in flight. */
    void replicate(long nowNanos) {
        for (String name : receivers()) {
            final PeerProgress peer = peer(name);
            if (peer.nextIndex() <= state.log().lastIndex()) {
                sendUnlessInFlight(peer, nowNanos);
            }
        }
    }

    void onAppendResponse(String sender, AppendResponse response, long nowNanos) {
        if (ignoreOtherTerm(response) || state.role() != Role.LEADER) {
            return;
        }
        final PeerProgress peer = peer(sender);
        peer.recordContact(response.identity(), response.sentNanos());
        if (response.accepted()) {
            peer.recordMatch(response.matchIndex());
            advanceCommit(nowNanos);
        } else if (peer.snapshot().isEmpty()) {
            peer.recordMismatch(response.matchIndex());
        }
        if (peer.nextIndex() <= state.log().lastIndex()) {
            sendUnlessInFlight(peer, nowNanos);
        }
    }

    void onSnapshotResponse(String sender, SnapshotResponse response, long nowNanos) {
        if (ignoreOtherTerm(response) || state.role() != Role.LEADER) {
            return;
        }
        final PeerProgress peer = peer(sender);
        peer.recordContact(response.identity(), response.sentNanos());
        if (snapshots.recordProgress(peer, response)) {
            sendUnlessInFlight(peer, nowNanos);
        }
    }

    /**
     * Commits the entries that a quorum has synced. Entries of earlier terms are committed only
     * along with one of the current term.
     */
    void advanceCommit(long nowNanos) {
        final ReplicaLog log = state.log();
        final long quorumIndex = Quorums.quorumValue(log.configuration(), this::syncedIndexOf);
        if (quorumIndex <= state.commitIndex() || log.termAt(quorumIndex) != state.term()) {
            return;
        }
        state.commit(quorumIndex);
        broadcast(nowNanos);
        if (log.configurationIndex() <= quorumIndex && !state.isVoter()) {
            state.stepDown();
        }
    }

    private void broadcast(long nowNanos) {
        heartbeatDueNanos = nowNanos + state.timing().heartbeatNanos();
        for (String name : receivers()) {
            final PeerProgress peer = peer(name);
            if (!sendUnlessInFlight(peer, nowNanos)) {
                sendHeartbeat(peer, nowNanos);
            }
        }
    }

    private boolean sendUnlessInFlight(PeerProgress peer, long nowNanos) {
        if (peer.hasRequestInFlight(nowNanos, state.timing().resendNanos())) {
            return false;
        }
        if (peer.snapshot().isPresent() || peer.nextIndex() <= state.log().baseIndex()) {
            snapshots.sendNextChunk(peer, nowNanos);
            return true;
        }
        final List<LogEntry> entries =
                state.log().entriesFrom(peer.nextIndex(), state.settings().batchBytes());
        sendEntries(peer.name(), peer.nextIndex() - 1, entries, nowNanos);
        if (!entries.isEmpty()) {
            peer.recordSend(entries.get(entries.size() - 1).index(), nowNanos);
        }
        return true;
    }

    /**
     * Sends a heartbeat while a request is in flight; it refers only to entries that the replica is
     * known to hold.
     */
    private void sendHeartbeat(PeerProgress peer, long nowNanos) {
        final long index = peer.matchIndex() >= state.log().baseIndex() ? peer.matchIndex() : 0;
        sendEntries(peer.name(), index, List.of(), nowNanos);
    }

    private void sendEntries(
            String receiver, long previousIndex, List<LogEntry> entries, long nowNanos) {
        final long previousTerm = previousIndex == 0 ? 0 : state.log().termAt(previousIndex);
        state.send(
                receiver,
                new AppendRequest(
                        state.settings().groupId(),
                        state.term(),
                        state.identity(),
                        previousIndex,
                        previousTerm,
                        state.commitIndex(),
                        nowNanos,
                        entries));
    }

    /** Returns whether the message has another term and must be ignored; adopts a higher term. */
    private boolean ignoreOtherTerm(GroupMessage message) {
        if (message.term() > state.term()) {
            state.adoptTerm(message.term());
            return true;
        }
        return message.term() < state.term();
    }

    private long nanosSinceConfirmation(Voter voter, long nowNanos) {
        if (voter.name().equals(state.name())) {
            return 0;
        }
        final PeerProgress peer = peer(voter.name());
        return peer.hasIdentityOf(voter) && peer.hasContact()
                ? nowNanos - peer.answeredSentNanos()
                : Long.MAX_VALUE;
    }

    private long syncedIndexOf(Voter voter) {
        if (voter.name().equals(state.name())) {
            return state.log().syncedIndex();
        }
        final PeerProgress peer = peer(voter.name());
        return peer.hasIdentityOf(voter) ? peer.matchIndex() : 0;
    }

    private Collection<String> receivers() {
        final Set<String> names = new HashSet<>(state.log().configuration().names());
        learner.ifPresent(names::add);
        names.remove(state.name());
        return names;
    }
}
