package org.crocushaven.consensus;

import java.util.Arrays;
import org.crocushaven.storage.SnapshotImage;

/** Sends snapshots in chunks, each after the response to the previous one. */
final class SnapshotTransfer {
    private final ReplicaState state;

    SnapshotTransfer(ReplicaState state) {
        this.state = state;
    }

    /** Sends the next chunk of the snapshot in transfer, or starts to send the newest snapshot. */
    void sendNextChunk(PeerProgress peer, long nowNanos) {
        if (peer.snapshot().isEmpty()) {
            peer.startSnapshot(state.log().snapshot().orElseThrow());
        }
        final SnapshotImage image = peer.snapshot().orElseThrow();
        final int offset = Math.min(peer.snapshotOffset(), image.data().length);
        final int end = Math.min(image.data().length, offset + state.settings().chunkBytes());
        state.send(
                peer.name(),
                new SnapshotChunk(
                        state.settings().groupId(),
                        state.term(),
                        state.identity(),
                        image.index(),
                        image.term(),
                        image.configuration(),
                        image.data().length,
                        offset,
                        Arrays.copyOfRange(image.data(), offset, end),
                        nowNanos));
        peer.recordSend(image.index(), nowNanos);
    }

    /**
     * Records a response; returns whether it is for the snapshot in transfer and asks for a chunk.
     */
    boolean recordProgress(PeerProgress peer, SnapshotResponse response) {
        final boolean current =
                peer.snapshot()
                        .filter(image -> image.index() == response.snapshotIndex())
                        .isPresent();
        if (current) {
            peer.continueSnapshotAt(response.nextOffset());
        }
        return current;
    }
}
