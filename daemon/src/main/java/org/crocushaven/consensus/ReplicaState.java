package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocushaven.storage.EntryKind;
import org.crocushaven.storage.HardState;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.RecoveredState;
import org.crocushaven.storage.SnapshotImage;

/** The state that the components of a replica share: term, role, log and pending output. */
final class ReplicaState {
    private static final byte[] NO_PAYLOAD = new byte[0];

    private final GroupSettings settings;
    private final long identity;
    private final ReplicaLog log;
    private final List<Envelope> messages = new ArrayList<>();
    private final List<Envelope> messagesAfterSync = new ArrayList<>();
    private final List<VoterChangeResult> changes = new ArrayList<>();
    private Optional<SnapshotImage> pendingInstall = Optional.empty();
    private Role role = Role.FOLLOWER;
    private Optional<String> leader = Optional.empty();
    private HardState hardState;
    private boolean hardStateChanged;
    private boolean selfVotePending;
    private long commitIndex;
    private long deliveredIndex;
    private long leaderContactNanos;
    private long leaderSinceNanos;
    private long termStartIndex;
    private long promisedLeaseEndNanos;

    ReplicaState(GroupSettings settings, long identity, RecoveredState recovered, long nowNanos) {
        this.settings = settings;
        this.identity = identity;
        this.log = ReplicaLog.of(VoterConfiguration.ofNames(initialVoters(settings)), recovered);
        this.hardState = recovered.hardState();
        this.commitIndex = recovered.snapshot().map(SnapshotImage::index).orElse(0L);
        this.deliveredIndex = commitIndex;
        this.leaderContactNanos = nowNanos;
        this.promisedLeaseEndNanos = nowNanos;
    }

    GroupSettings settings() {
        return settings;
    }

    ReplicaTiming timing() {
        return settings.timing();
    }

    String name() {
        return settings.instance();
    }

    long identity() {
        return identity;
    }

    ReplicaLog log() {
        return log;
    }

    Role role() {
        return role;
    }

    long term() {
        return hardState.term();
    }

    Optional<String> leader() {
        return leader;
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Returns when this replica last received a message from a leader, or when it started. */
    long leaderContactNanos() {
        return leaderContactNanos;
    }

    long leaderSinceNanos() {
        return leaderSinceNanos;
    }

    /** Returns the index of the first entry that this replica appended as leader of its term. */
    long termStartIndex() {
        return termStartIndex;
    }

    /** Records the end of a lease reported to callers; this replica grants no votes until then. */
    void promiseLease(long endNanos) {
        promisedLeaseEndNanos = endNanos;
    }

    /** Returns the end of the last promised lease, also after this replica stepped down. */
    long promisedLeaseEndNanos() {
        return promisedLeaseEndNanos;
    }

    boolean isVoter() {
        return log.configuration().includes(name(), identity);
    }

    /**
     * Returns whether this replica may start an election. A replica whose removal is not known to
     * be committed still may, because the other voters may need its log to make progress.
     */
    boolean canStartElection() {
        return log.isVoterAtOrAfter(commitIndex, name(), identity);
    }

    /** Becomes a follower; a higher term is adopted without a vote or a known leader. */
    void adoptTerm(long newTerm) {
        if (newTerm > term()) {
            hardState = new HardState(newTerm, "");
            hardStateChanged = true;
            leader = Optional.empty();
        }
        role = Role.FOLLOWER;
        selfVotePending = false;
    }

    void follow(String newLeader, long nowNanos) {
        leader = Optional.of(newLeader);
        leaderContactNanos = nowNanos;
    }

    /** Forgets a leader that this replica, which cannot start an election, hears no more. */
    void forgetLeader() {
        leader = Optional.empty();
    }

    void startPreVote() {
        role = Role.PRE_CANDIDATE;
        leader = Optional.empty();
    }

    /** Starts a new term and votes for this replica; the vote counts only once it is durable. */
    void startCandidacy() {
        role = Role.CANDIDATE;
        leader = Optional.empty();
        hardState = new HardState(term() + 1, candidateKey(name(), identity));
        hardStateChanged = true;
        selfVotePending = true;
    }

    void startLeading(long nowNanos) {
        role = Role.LEADER;
        leader = Optional.of(name());
        leaderSinceNanos = nowNanos;
        termStartIndex = log.lastIndex() + 1;
    }

    /** Becomes a follower within the same term. */
    void stepDown() {
        if (role == Role.LEADER) {
            leader = Optional.empty();
        }
        role = Role.FOLLOWER;
    }

    /**
     * Votes for a candidate unless this replica has already voted in this term; returns whether its
     * vote of this term is for that candidate.
     */
    boolean voteFor(String candidate, long candidateIdentity) {
        final String key = candidateKey(candidate, candidateIdentity);
        if (hardState.votedFor().isEmpty()) {
            hardState = new HardState(term(), key);
            hardStateChanged = true;
        }
        return hardState.votedFor().equals(key);
    }

    /** Clears the pending vote for this replica; returns whether there was one. */
    boolean clearPendingSelfVote() {
        final boolean pending = selfVotePending;
        selfVotePending = false;
        return pending;
    }

    LogEntry append(EntryKind kind, byte[] payload) {
        final LogEntry entry = new LogEntry(log.lastIndex() + 1, term(), kind, payload);
        log.append(entry);
        return entry;
    }

    void appendNoOp() {
        append(EntryKind.NO_OP, NO_PAYLOAD);
    }

    void commit(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /** Replaces the log and the state by a snapshot of committed entries. */
    void install(SnapshotImage image) {
        log.install(image);
        pendingInstall = Optional.of(image);
        commitIndex = image.index();
        deliveredIndex = image.index();
    }

    void send(String receiver, GroupMessage message) {
        messages.add(new Envelope(receiver, message));
    }

    void sendAfterSync(String receiver, GroupMessage message) {
        messagesAfterSync.add(new Envelope(receiver, message));
    }

    void report(VoterChangeResult result) {
        changes.add(result);
    }

    /**
     * Records that the output taken last is durable and releases the messages that waited for it.
     */
    void onSynced() {
        log.onSynced();
        for (Envelope envelope : messagesAfterSync) {
            if (!isOutdated(envelope.message())) {
                messages.add(envelope);
            }
        }
        messagesAfterSync.clear();
    }

    ReplicaOutput takeOutput() {
        final Optional<HardState> changedState =
                hardStateChanged ? Optional.of(hardState) : Optional.empty();
        final Optional<SnapshotImage> snapshotToInstall = pendingInstall;
        final List<LogEntry> unsaved = log.takeUnsaved();
        final ReplicaOutput output =
                new ReplicaOutput(
                        List.copyOf(messages),
                        changedState,
                        snapshotToInstall,
                        unsaved,
                        hardStateChanged
                                || snapshotToInstall.isPresent()
                                || !unsaved.isEmpty()
                                || !messagesAfterSync.isEmpty(),
                        log.entriesBetween(deliveredIndex, commitIndex),
                        List.copyOf(changes));
        hardStateChanged = false;
        pendingInstall = Optional.empty();
        deliveredIndex = commitIndex;
        messages.clear();
        changes.clear();
        return output;
    }

    /**
     * Returns whether a message acknowledges entries of an earlier term's leader; the entries may
     * have been replaced since.
     */
    private boolean isOutdated(GroupMessage message) {
        return message instanceof AppendResponse && message.term() != term();
    }

    private static List<String> initialVoters(GroupSettings settings) {
        return settings.initialVoters().contains(settings.instance())
                ? settings.initialVoters()
                : List.of();
    }

    private static String candidateKey(String candidate, long candidateIdentity) {
        return candidate + '#' + Long.toHexString(candidateIdentity);
    }

    /** The role of a replica in its term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }
}
