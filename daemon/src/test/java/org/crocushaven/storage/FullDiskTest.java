package org.crocushaven.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FullDiskTest {
    private static final int STEPS = 9;
    private static final int SCHEDULES = 3;
    private static final int ATTEMPTS_WHILE_FULL = 3;

    /** Operations that need room, of which no schedule has as many. */
    private static final long NEVER_FULL = 1_000_000;

    private static final int SMALL_PAYLOAD_BYTES = 20;

    /** Size of an entry with which a few batches fill a segment file. */
    private static final int LARGE_PAYLOAD_BYTES = 1_500_000;

    /** Of the operations with large entries, which are slow, one in so many is tried. */
    private static final int LARGE_STRIDE = 23;

    @TempDir private Path folder;

    @Nested
    class Refilling {
        // Guards against: a file that a full disk left in parts keeps the replica closed for good.
        @ParameterizedTest
        @EnumSource
        void storeOpensAgainAndKeepsWhatItSyncedWhereverTheDiskWasFull(FaultyDisk.Kind kind) {
            for (int schedule = 0; schedule < SCHEDULES; schedule++) {
                final boolean isLarge = schedule == 0;
                final int payload = isLarge ? LARGE_PAYLOAD_BYTES : SMALL_PAYLOAD_BYTES;
                final long operations = run(kind, schedule, payload, NEVER_FULL);
                for (long room = 0; room < operations; room += isLarge ? LARGE_STRIDE : 1) {
                    run(kind, schedule, payload, room);
                }
            }
        }

        private long run(FaultyDisk.Kind kind, int schedule, int payload, long room) {
            final FaultyDisk disk = new FaultyDisk();
            disk.setKind(kind);
            final String name = kind + "-" + schedule + "-" + room;
            final Run run = new Run(disk, disk.wrap(folder.resolve(name)), schedule, payload);
            run.createFolder();
            final long before = disk.operations();
            disk.fillAfter(room);
            run.write();
            final long operations = disk.operations() - before;
            assertEquals(room < NEVER_FULL, disk.refusals() > 0, name + ": a full disk");
            run.openWhileFull();
            disk.setFull(false);
            run.checkReopened(name);
            run.write();
            run.checkReopened(name + " and once more");
            return operations;
        }
    }

    /** One store, what was asked of it and what it has stored for certain. */
    private static final class Run {
        private final FaultyDisk disk;
        private final Path path;
        private final RandomGenerator random;
        private final int payload;
        private final List<LogEntry> synced = new ArrayList<>();
        private final List<LogEntry> attempted = new ArrayList<>();
        private HardState savedHardState = HardState.INITIAL;
        private HardState attemptedHardState = HardState.INITIAL;
        private long snapshotIndex;
        private long nextTerm = 1;

        private Run(FaultyDisk disk, Path path, int schedule, int payload) {
            this.disk = disk;
            this.path = path;
            this.random = new SplittableRandom(schedule);
            this.payload = payload;
        }

        private void createFolder() {
            open().close();
        }

        private FileLogStore open() {
            return FileLogStore.open(DataFolder.open(path, "a/group-0", new SplittableRandom(1)));
        }

        /** Writes until all steps are done or the disk refuses one. */
        private void write() {
            try (FileLogStore store = open()) {
                adopt(store.recovered());
                saveHardState(store);
                for (int step = 0; step < STEPS; step++) {
                    perform(store);
                }
            } catch (ResultException full) {
                disk.operations();
            }
        }

        private void perform(FileLogStore store) {
            switch (random.nextInt(8)) {
                case 0 -> saveHardState(store);
                case 1 -> compact(store);
                case 2 -> install(store);
                default -> append(store);
            }
        }

        private void saveHardState(FileLogStore store) {
            attemptedHardState = new HardState(nextTerm++, "a");
            store.saveHardState(attemptedHardState);
            savedHardState = attemptedHardState;
        }

        private void append(FileLogStore store) {
            final long first = lastIndex() + 1;
            attempted.clear();
            attempted.addAll(synced);
            for (long index = first; index < first + 1 + random.nextInt(3); index++) {
                attempted.add(new LogEntry(index, nextTerm, EntryKind.COMMAND, new byte[payload]));
            }
            store.append(attempted.subList(synced.size(), attempted.size()));
            store.sync();
            synced.clear();
            synced.addAll(attempted);
        }

        private void compact(FileLogStore store) {
            if (synced.isEmpty()) {
                return;
            }
            final LogEntry last = synced.get(random.nextInt(synced.size()));
            store.compact(image(last.index(), last.term()));
            covered(last.index());
        }

        private void install(FileLogStore store) {
            final long index = lastIndex() + 1 + random.nextInt(5);
            store.install(image(index, nextTerm));
            synced.clear();
            attempted.clear();
            snapshotIndex = index;
        }

        private void covered(long index) {
            snapshotIndex = index;
            synced.removeIf(entry -> entry.index() <= index);
            attempted.clear();
            attempted.addAll(synced);
        }

        private long lastIndex() {
            return snapshotIndex + synced.size();
        }

        private static SnapshotImage image(long index, long term) {
            return new SnapshotImage(index, term, new byte[] {9}, new byte[] {1});
        }

        /** Opens the store again and again, as a replica does whose disk has no room yet. */
        private void openWhileFull() {
            for (int attempt = 0; attempt < ATTEMPTS_WHILE_FULL; attempt++) {
                try (FileLogStore store = open()) {
                    store.saveHardState(savedHardState);
                } catch (ResultException full) {
                    disk.operations();
                }
            }
        }

        private void checkReopened(String name) {
            try (FileLogStore store = open()) {
                final RecoveredState found = store.recovered();
                final HardState hardState = found.hardState();
                assertTrue(
                        hardState.equals(savedHardState) || hardState.equals(attemptedHardState),
                        name + ": hard state " + hardState + " is not " + savedHardState);
                final long base = found.snapshot().map(SnapshotImage::index).orElse(0L);
                assertTrue(base >= snapshotIndex, name + ": an older snapshot, " + base);
                final List<LogEntry> expected =
                        synced.stream().filter(entry -> entry.index() > base).toList();
                assertTrue(found.entries().size() >= expected.size(), name + ": entries lost");
                assertEquals(
                        describe(expected),
                        describe(found.entries().subList(0, expected.size())),
                        name);
                adopt(found);
            }
        }

        /** Takes over what the store has, which may be more than it was asked to sync. */
        private void adopt(RecoveredState found) {
            final Optional<SnapshotImage> snapshot = found.snapshot();
            snapshotIndex = snapshot.map(SnapshotImage::index).orElse(0L);
            synced.clear();
            synced.addAll(found.entries());
            savedHardState = found.hardState();
            attemptedHardState = savedHardState;
        }

        private static List<String> describe(List<LogEntry> entries) {
            return entries.stream().map(entry -> entry.index() + "@" + entry.term()).toList();
        }
    }
}
