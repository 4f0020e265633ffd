package org.crocushaven.consensus;

import java.util.Optional;
import org.crocushaven.storage.SnapshotImage;

/**
 * Tracks up to which entry another replica holds the leader's log and what the leader last sent to
 * it.
 */
final class PeerProgress {
    private static final long NEVER = Long.MIN_VALUE;

    private final String name;
    private long identity;
    private long matchIndex;
    private long nextIndex;
    private long answeredSentNanos = NEVER;
    private long inFlightSinceNanos = NEVER;
    private long inFlightIndex;
    private Optional<SnapshotImage> snapshot = Optional.empty();
    private int snapshotOffset;

    PeerProgress(String name, long nextIndex) {
        this.name = name;
        this.nextIndex = nextIndex;
    }

    String name() {
        return name;
    }

    /** Returns the storage identity in the replica's last response; 0 before the first response. */
    long identity() {
        return identity;
    }

    /** Returns the index up to which the replica's log equals the leader's and is synced. */
    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    /** Returns whether the replica answers with the storage identity of the given voter. */
    boolean hasIdentityOf(Voter voter) {
        return voter.identity() == identity;
    }

    /** Returns the time at which the newest message that the replica has answered was sent. */
    long answeredSentNanos() {
        return answeredSentNanos;
    }

    boolean hasContact() {
        return answeredSentNanos != NEVER;
    }

    /**
     * Records a response; progress is reset when the replica answers with a new storage identity.
     */
    void recordContact(long responseIdentity, long sentNanos) {
        if (identity != responseIdentity) {
            identity = responseIdentity;
            matchIndex = 0;
            answeredSentNanos = NEVER;
            inFlightSinceNanos = NEVER;
            endSnapshot();
        }
        if (!hasContact() || sentNanos - answeredSentNanos > 0) {
            answeredSentNanos = sentNanos;
        }
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (index >= inFlightIndex) {
            inFlightSinceNanos = NEVER;
        }
        if (snapshot.isPresent() && matchIndex >= snapshot.get().index()) {
            endSnapshot();
        }
    }

    void recordMismatch(long hint) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, hint + 1));
        inFlightSinceNanos = NEVER;
    }

    /** Records that a request was sent whose last entry has the given index. */
    void recordSend(long lastSentIndex, long nowNanos) {
        inFlightIndex = lastSentIndex;
        inFlightSinceNanos = nowNanos;
    }

    /** Returns whether the last request is unanswered and not yet due to be resent. */
    boolean hasRequestInFlight(long nowNanos, long resendNanos) {
        return inFlightSinceNanos != NEVER && nowNanos - inFlightSinceNanos < resendNanos;
    }

    /** Returns the snapshot that is being sent; empty when none is. */
    Optional<SnapshotImage> snapshot() {
        return snapshot;
    }

    /** Returns the offset of the snapshot chunk to send next. */
    int snapshotOffset() {
        return snapshotOffset;
    }

    void startSnapshot(SnapshotImage image) {
        snapshot = Optional.of(image);
        snapshotOffset = 0;
    }

    void continueSnapshotAt(int offset) {
        snapshotOffset = offset;
        inFlightSinceNanos = NEVER;
    }

    private void endSnapshot() {
        snapshot = Optional.empty();
        snapshotOffset = 0;
    }
}
