package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.crocushaven.storage.FaultyDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FullDisksTest {
    private static final String SPARE = "spare";
    private static final int ROUNDS = 5;
    private static final long POLL_MILLIS = 50;
    private static final long SHORTEST_FULL_MILLIS = 400;
    private static final long LONGEST_FULL_MILLIS = 2_500;
    private static final long LONGEST_BETWEEN_MILLIS = 700;

    /** Time within which a change must be acknowledged once no disk is full. */
    private static final long ACKNOWLEDGEMENT_MILLIS = 4_000;

    @TempDir private Path folder;
    private final SplittableRandom random = new SplittableRandom(43);
    private final List<CompletableFuture<Void>> changes = new ArrayList<>();
    private final AtomicLong acknowledgedVersion = new AtomicLong();
    private ControlFleet fleet;
    private long version;

    @BeforeEach
    void startVoters() {
        fleet = new ControlFleet(folder);
        ControlFleet.VOTERS.forEach(fleet::start);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Sends changes to the instances in turn. */
    private void change(List<String> instances, long millis) {
        final long startNanos = System.nanoTime();
        while (millisSince(startNanos) < millis) {
            send(instances.get((int) (version % instances.size())));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    private CompletableFuture<Void> send(String instance) {
        final long sent = ++version;
        final CompletableFuture<Void> change = fleet.replace(instance, sent);
        change.thenRun(() -> acknowledgedVersion.accumulateAndGet(sent, Math::max));
        changes.add(change);
        return change;
    }

    /** Fills the disk of one instance, often of the leader, for a while. */
    private void fillOne(List<String> instances, FaultyDisk.Kind kind) {
        final String any = instances.get(random.nextInt(instances.size()));
        final String name = random.nextBoolean() ? fleet.leader().orElse(any) : any;
        final FaultyDisk disk = fleet.disk(name);
        disk.setKind(kind);
        disk.fillAfter(random.nextInt(8));
        change(instances, random.nextLong(SHORTEST_FULL_MILLIS, LONGEST_FULL_MILLIS));
        disk.setFull(false);
    }

    private void awaitAcknowledgement(String instance) {
        final long startNanos = System.nanoTime();
        final long before = acknowledgedVersion.get();
        while (acknowledgedVersion.get() <= before) {
            assertTrue(
                    millisSince(startNanos) < ACKNOWLEDGEMENT_MILLIS,
                    instance + " acknowledges no change");
            send(instance);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
        assertTrue(
                fleet.readVersion(instance) >= acknowledgedVersion.get(),
                instance + " reads an older version");
    }

    private void awaitAnswers() {
        final long startNanos = System.nanoTime();
        while (!changes.stream().allMatch(CompletableFuture::isDone)) {
            assertTrue(millisSince(startNanos) < ACKNOWLEDGEMENT_MILLIS, "a change is unanswered");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    private long refusals(List<String> instances) {
        return instances.stream().mapToLong(name -> fleet.disk(name).refusals()).sum();
    }

    private void run(List<String> instances, FaultyDisk.Kind kind) {
        change(instances, ACKNOWLEDGEMENT_MILLIS / 2);
        for (int round = 0; round < ROUNDS; round++) {
            fillOne(instances, kind);
            change(instances, 1 + random.nextLong(LONGEST_BETWEEN_MILLIS));
        }
        assertTrue(refusals(instances) >= ROUNDS, "too few writes found a full disk");
        instances.forEach(this::awaitAcknowledgement);
        awaitAnswers();
    }

    @Nested
    class InTurn {
        // Guards against: after disks were full in turn, changes were refused or unanswered.
        @ParameterizedTest
        @EnumSource
        void changesAreAcknowledgedOnceAllHaveRoom(FaultyDisk.Kind kind) {
            run(ControlFleet.VOTERS, kind);
        }

        // Guards against: a voter that was replaced while its disk was full stopped the changes.
        @ParameterizedTest
        @EnumSource
        void changesAreAcknowledgedWhereAnotherInstanceCouldVote(FaultyDisk.Kind kind) {
            fleet.start(SPARE);
            final List<String> all = new ArrayList<>(ControlFleet.VOTERS);
            all.add(SPARE);
            run(all, kind);
        }
    }
}
