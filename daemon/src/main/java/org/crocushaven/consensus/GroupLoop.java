package org.crocushaven.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.LogStore;
import org.crocushaven.storage.SnapshotImage;

/**
 * Executes the output of a replica and completes the futures of proposals and voter changes.
 *
 * <p>Used from one thread, except for the sync counters.
 */
final class GroupLoop {
    private final GroupSettings settings;
    private final ReplicaCore core;
    private final LogStore store;
    private final AppliedState applied;
    private final GroupRouter router;
    private final NanoClock clock;
    private final GroupEvents events;
    private final Deque<Proposal> proposals = new ArrayDeque<>();
    private final Map<Long, CompletableFuture<Void>> changes = new HashMap<>();
    private final LongAdder syncedBatchCount = new LongAdder();
    private final LongAdder syncedEntryCount = new LongAdder();
    private long nextChangeId = 1;
    private long snapshotIndex;
    private Optional<String> reportedLeader = Optional.empty();
    private boolean stopped;

    GroupLoop(
            GroupSettings settings,
            ReplicaCore core,
            LogStore store,
            AppliedState applied,
            GroupRouter router,
            NanoClock clock,
            GroupEvents events) {
        this.settings = settings;
        this.core = core;
        this.store = store;
        this.applied = applied;
        this.router = router;
        this.clock = clock;
        this.events = events;
        this.snapshotIndex = applied.appliedIndex();
    }

    void receive(String sender, GroupMessage message, long nowNanos) {
        if (!stopped) {
            core.receive(sender, message, nowNanos);
        }
    }

    void propose(byte[] command, CompletableFuture<byte[]> result) {
        final OptionalLong index = stopped ? OptionalLong.empty() : core.propose(command);
        if (index.isPresent()) {
            proposals.addLast(new Proposal(index.getAsLong(), core.term(), result));
        } else {
            final ResultCode code =
                    core.leader().isPresent() ? ResultCode.NOT_LEADER : ResultCode.NO_QUORUM;
            result.completeExceptionally(ResultException.of(code, settings.groupId()));
        }
    }

    void addVoter(String instance, CompletableFuture<Void> result, long nowNanos) {
        if (failIfStopped(result)) {
            return;
        }
        final long changeId = nextChangeId++;
        changes.put(changeId, result);
        core.addVoter(changeId, instance, nowNanos);
    }

    void removeVoter(String instance, CompletableFuture<Void> result, long nowNanos) {
        if (failIfStopped(result)) {
            return;
        }
        final long changeId = nextChangeId++;
        changes.put(changeId, result);
        core.removeVoter(changeId, instance, nowNanos);
    }

    /** Advances the time and executes all output that the inputs since the last round produced. */
    void finishRound() {
        core.tick(clock.nanoTime());
        ReplicaOutput output = core.takeOutput(clock.nanoTime());
        while (!output.isEmpty()) {
            output.messages().forEach(router::send);
            if (output.awaitsSync()) {
                persist(output);
                core.onSynced(clock.nanoTime());
            }
            output.snapshotToInstall().ifPresent(this::install);
            output.committed().forEach(this::apply);
            output.changeResults().forEach(this::finishChange);
            output = core.takeOutput(clock.nanoTime());
        }
        if (!core.isLeader()) {
            failProposals();
        }
        compactWhenDue();
        reportLeader();
    }

    GroupView view() {
        return GroupView.of(core, clock.nanoTime());
    }

    /** Returns the number of synced batches of entries. */
    long syncedBatches() {
        return syncedBatchCount.sum();
    }

    /** Returns the number of synced entries. */
    long syncedEntries() {
        return syncedEntryCount.sum();
    }

    /** Fails pending proposals and voter changes and closes the store. */
    void stop() {
        stopped = true;
        failProposals();
        changes.values().forEach(result -> result.completeExceptionally(outcomeUnknown()));
        changes.clear();
        store.close();
    }

    private void persist(ReplicaOutput output) {
        output.hardState().ifPresent(store::saveHardState);
        output.snapshotToInstall().ifPresent(store::install);
        if (!output.entries().isEmpty()) {
            store.append(output.entries());
            store.sync();
            syncedBatchCount.increment();
            syncedEntryCount.add(output.entries().size());
        }
    }

    private void install(SnapshotImage image) {
        applied.restore(image);
        snapshotIndex = image.index();
        events.snapshotInstalled(image.index());
    }

    private void apply(LogEntry entry) {
        final byte[] result = applied.apply(entry);
        final Proposal proposal = proposals.peekFirst();
        if (proposal != null && proposal.index() == entry.index()) {
            proposals.removeFirst();
            if (proposal.term() == entry.term()) {
                proposal.result().complete(result);
            } else {
                proposal.result()
                        .completeExceptionally(
                                ResultException.of(ResultCode.NOT_LEADER, settings.groupId()));
            }
        }
    }

    private void finishChange(VoterChangeResult change) {
        final CompletableFuture<Void> result = changes.remove(change.changeId());
        if (change.failure().isPresent()) {
            result.completeExceptionally(change.failure().get());
        } else {
            events.votersChanged(core.configuration().names());
            result.complete(null);
        }
    }

    private void compactWhenDue() {
        if (applied.appliedIndex() - snapshotIndex < settings.compactionEntries()) {
            return;
        }
        final SnapshotImage image = applied.snapshot();
        store.compact(image);
        core.compact(image);
        snapshotIndex = image.index();
    }

    private void failProposals() {
        while (!proposals.isEmpty()) {
            proposals.removeFirst().result().completeExceptionally(outcomeUnknown());
        }
    }

    private boolean failIfStopped(CompletableFuture<Void> result) {
        if (stopped) {
            result.completeExceptionally(ResultException.of(ResultCode.STOPPING));
        }
        return stopped;
    }

    private ResultException outcomeUnknown() {
        return ResultException.of(ResultCode.PROPOSAL_OUTCOME_UNKNOWN, settings.groupId());
    }

    private void reportLeader() {
        if (!core.leader().equals(reportedLeader)) {
            reportedLeader = core.leader();
            events.leaderChanged(core.term(), core.leader());
        }
    }

    private record Proposal(long index, long term, CompletableFuture<byte[]> result) {}
}
