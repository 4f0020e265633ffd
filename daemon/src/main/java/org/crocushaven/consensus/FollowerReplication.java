package org.crocushaven.consensus;

import java.util.Optional;
import org.crocushaven.consensus.ReplicaState.Role;
import org.crocushaven.storage.SnapshotImage;

/** Stores the entries and snapshots that the leader sends and acknowledges them once synced. */
final class FollowerReplication {
    private final ReplicaState state;
    private final Elections elections;
    private final SnapshotAssembly assembly = new SnapshotAssembly();

    FollowerReplication(ReplicaState state, Elections elections) {
        this.state = state;
        this.elections = elections;
    }

    void onAppendRequest(String sender, AppendRequest request, long nowNanos) {
        if (!acceptLeader(sender, request, request.sentNanos(), nowNanos)) {
            return;
        }
        final ReplicaLog log = state.log();
        if (!log.matches(request.previousIndex(), request.previousTerm())) {
            final long hint = log.conflictHint(request.previousIndex());
            state.send(sender, response(false, hint, request.sentNanos()));
            return;
        }
        log.merge(request.entries(), state.commitIndex());
        final long matchIndex = request.previousIndex() + request.entries().size();
        state.commit(Math.min(request.commitIndex(), matchIndex));
        state.sendAfterSync(sender, response(true, matchIndex, request.sentNanos()));
    }

    void onSnapshotChunk(String sender, SnapshotChunk chunk, long nowNanos) {
        if (!acceptLeader(sender, chunk, chunk.sentNanos(), nowNanos)) {
            return;
        }
        if (chunk.snapshotIndex() <= state.commitIndex()) {
            state.sendAfterSync(sender, response(true, state.commitIndex(), chunk.sentNanos()));
            return;
        }
        final Optional<SnapshotImage> image = assembly.add(chunk);
        if (image.isPresent()) {
            state.install(image.get());
            state.sendAfterSync(sender, response(true, chunk.snapshotIndex(), chunk.sentNanos()));
            return;
        }
        state.send(
                sender,
                new SnapshotResponse(
                        chunk.groupId(),
                        state.term(),
                        state.identity(),
                        chunk.snapshotIndex(),
                        assembly.nextOffset(),
                        chunk.sentNanos()));
    }

    /**
     * Accepts the sender as leader and returns true, or rejects the message if its term is stale.
     */
    private boolean acceptLeader(
            String sender, GroupMessage message, long sentNanos, long nowNanos) {
        if (message.term() < state.term()) {
            state.send(sender, response(false, state.log().lastIndex(), sentNanos));
            return false;
        }
        if (state.role() == Role.LEADER && message.term() == state.term()) {
            throw new IllegalStateException("two leaders in term " + state.term());
        }
        state.adoptTerm(message.term());
        state.follow(sender, nowNanos);
        elections.postpone(nowNanos);
        return true;
    }

    private AppendResponse response(boolean accepted, long index, long sentNanos) {
        return new AppendResponse(
                state.settings().groupId(),
                state.term(),
                state.identity(),
                accepted,
                index,
                sentNanos);
    }
}
