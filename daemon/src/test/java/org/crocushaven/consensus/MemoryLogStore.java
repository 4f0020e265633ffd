package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.storage.HardState;
import org.crocushaven.storage.LogEntry;
import org.crocushaven.storage.LogStore;
import org.crocushaven.storage.RecoveredState;
import org.crocushaven.storage.SnapshotImage;

/** An in-memory log store that loses, tears or keeps unsynced batches in a simulated crash. */
final class MemoryLogStore implements LogStore {
    private final long identity;
    private final RandomGenerator random;
    private final FaultCounts<ReplicaFault> counts;
    private final List<LogEntry> durable = new ArrayList<>();
    private final List<List<LogEntry>> unsynced = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;
    private Optional<SnapshotImage> snapshot = Optional.empty();
    private double crashChance;
    private int stepsWithRoom = Integer.MAX_VALUE;

    MemoryLogStore(long identity, RandomGenerator random, FaultCounts<ReplicaFault> counts) {
        this.identity = identity;
        this.random = random;
        this.counts = counts;
    }

    /** Sets the probability of a crash at each write step. */
    void setCrashChance(double chance) {
        crashChance = chance;
    }

    /** Fails every write step after a number of further ones. */
    void fillAfter(int steps) {
        stepsWithRoom = steps;
    }

    /** Lets writes succeed again. */
    void makeRoom() {
        stepsWithRoom = Integer.MAX_VALUE;
    }

    /** Crashes; a random number of unsynced batches, from the first on, is kept. */
    void crash() {
        crashChance = 0;
        for (List<LogEntry> batch : unsynced) {
            if (random.nextInt(3) > 0) {
                final boolean torn = random.nextBoolean();
                counts.count(torn ? ReplicaFault.TORN_WRITE : ReplicaFault.UNSYNCED_LOST);
                break;
            }
            counts.count(ReplicaFault.UNSYNCED_KEPT);
            keep(batch);
        }
        unsynced.clear();
    }

    @Override
    public long identity() {
        return identity;
    }

    @Override
    public RecoveredState recovered() {
        final long after = snapshot.map(SnapshotImage::index).orElse(0L);
        return new RecoveredState(
                hardState,
                snapshot,
                durable.stream().filter(entry -> entry.index() > after).toList());
    }

    @Override
    public void saveHardState(HardState newState) {
        crashAtRandom();
        hardState = newState;
        crashAtRandom();
    }

    @Override
    public void append(List<LogEntry> entries) {
        crashAtRandom();
        unsynced.add(entries);
    }

    @Override
    public void sync() {
        crashAtRandom();
        unsynced.forEach(this::keep);
        unsynced.clear();
        crashAtRandom();
    }

    @Override
    public void compact(SnapshotImage image) {
        sync();
        snapshot = Optional.of(image);
        durable.removeIf(entry -> entry.index() <= image.index());
        crashAtRandom();
    }

    @Override
    public void install(SnapshotImage image) {
        crashAtRandom();
        snapshot = Optional.of(image);
        durable.clear();
        unsynced.clear();
        crashAtRandom();
    }

    @Override
    public void close() {
        unsynced.clear();
    }

    private void keep(List<LogEntry> batch) {
        final long first = batch.get(0).index();
        if (durable.removeIf(entry -> entry.index() >= first)) {
            counts.count(ReplicaFault.ENTRIES_REPLACED);
        }
        durable.addAll(batch);
    }

    private void crashAtRandom() {
        if (stepsWithRoom == 0) {
            throw new SimulatedCrash();
        }
        stepsWithRoom -= stepsWithRoom < Integer.MAX_VALUE ? 1 : 0;
        if (random.nextDouble() < crashChance) {
            throw new SimulatedCrash();
        }
    }
}
