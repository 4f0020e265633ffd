package org.crocushaven.consensus;

import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * Writes a log line for each event of a replica.
 *
 * @param groupId number of the group
 */
record LoggedGroupEvents(int groupId) implements GroupEvents {
    @Override
    public void leaderChanged(long term, Optional<String> leader) {
        Logger.info(
                "event=leader-changed group={} term={} leader={}",
                groupId,
                term,
                leader.orElse("none"));
    }

    @Override
    public void snapshotInstalled(long index) {
        Logger.info("event=snapshot-installed group={} index={}", groupId, index);
    }

    @Override
    public void votersChanged(List<String> voters) {
        Logger.info("event=voters-changed group={} voters={}", groupId, String.join(",", voters));
    }
}
