package org.crocushaven.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileLogStoreTest {
    private static final byte[] CONFIGURATION = {9};

    @TempDir private Path folder;

    private static FileLogStore open(Path path) {
        return FileLogStore.open(DataFolder.open(path, "a/group-0", new SplittableRandom(1)));
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, EntryKind.COMMAND, new byte[] {(byte) index, (byte) term});
    }

    private static List<LogEntry> entries(long from, long upTo, long term) {
        final List<LogEntry> batch = new ArrayList<>();
        for (long index = from; index <= upTo; index++) {
            batch.add(entry(index, term));
        }
        return batch;
    }

    private static List<String> describe(List<LogEntry> entries) {
        return entries.stream().map(entry -> entry.index() + "@" + entry.term()).toList();
    }

    private static SnapshotImage snapshot(long index, long term) {
        return new SnapshotImage(index, term, CONFIGURATION, new byte[] {(byte) index});
    }

    private Path newestLog() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .max(Comparator.naturalOrder())
                    .orElseThrow();
        }
    }

    private void writeTwoBatches() {
        try (FileLogStore store = open(folder)) {
            store.saveHardState(new HardState(1, "a"));
            store.append(entries(1, 3, 1));
            store.append(entries(4, 6, 1));
            store.sync();
        }
    }

    private ResultCode openingFailureCode() {
        return assertThrows(ResultException.class, () -> open(folder)).code();
    }

    @Nested
    class Reopening {
        @Test
        void recoversHardStateAndEntries() {
            writeTwoBatches();
            try (FileLogStore store = open(folder)) {
                assertEquals(new HardState(1, "a"), store.recovered().hardState());
                assertEquals(describe(entries(1, 6, 1)), describe(store.recovered().entries()));
            }
        }

        @Test
        void keepsIdentityAcrossReopening() {
            final long identity;
            try (FileLogStore store = open(folder)) {
                identity = store.identity();
            }
            try (FileLogStore store = open(folder)) {
                assertEquals(identity, store.identity());
            }
        }

        @Test
        void truncatesTornBatch() throws IOException {
            writeTwoBatches();
            final byte[] content = Files.readAllBytes(newestLog());
            Files.write(newestLog(), Arrays.copyOf(content, content.length - 1));
            try (FileLogStore store = open(folder)) {
                assertEquals(describe(entries(1, 3, 1)), describe(store.recovered().entries()));
                store.append(entries(4, 4, 2));
                store.sync();
            }
            try (FileLogStore store = open(folder)) {
                assertEquals(
                        List.of("1@1", "2@1", "3@1", "4@2"), describe(store.recovered().entries()));
            }
        }

        @Test
        void recoversEntriesAfterInstalledSnapshotOfLaterTerm() {
            writeTwoBatches();
            try (FileLogStore store = open(folder)) {
                store.install(snapshot(6, 2));
                store.append(entries(7, 8, 2));
                store.sync();
            }
            try (FileLogStore store = open(folder)) {
                assertEquals(describe(entries(7, 8, 2)), describe(store.recovered().entries()));
                assertArrayEquals(
                        new byte[] {6}, store.recovered().snapshot().orElseThrow().data());
            }
        }
    }

    @Nested
    class Refusing {
        @Test
        void refusesDamagedBatchBeforeValidBatch() throws IOException {
            writeTwoBatches();
            final byte[] content = Files.readAllBytes(newestLog());
            content[Segment.HEADER_BYTES + BatchCodec.HEADER_BYTES + 5] ^= 1;
            Files.write(newestLog(), content);

            assertEquals(ResultCode.DATA_FOLDER_CORRUPT, openingFailureCode());
        }

        @Test
        void refusesMissingLogFile() throws IOException {
            writeTwoBatches();
            Files.delete(newestLog());

            assertEquals(ResultCode.DATA_FOLDER_CORRUPT, openingFailureCode());
        }

        @Test
        void refusesDamagedHardState() throws IOException {
            writeTwoBatches();
            final Path file = folder.resolve("hard-state");
            final byte[] content = Files.readAllBytes(file);
            content[content.length - 1] ^= 1;
            Files.write(file, content);

            assertEquals(ResultCode.DATA_FOLDER_CORRUPT, openingFailureCode());
        }

        @Test
        void refusesMissingHardState() throws IOException {
            writeTwoBatches();
            Files.delete(folder.resolve("hard-state"));

            assertEquals(ResultCode.DATA_FOLDER_CORRUPT, openingFailureCode());
        }

        @Test
        void refusesFolderOfOtherOwner() {
            writeTwoBatches();
            final ResultException failure =
                    assertThrows(
                            ResultException.class,
                            () -> DataFolder.open(folder, "b/group-0", new SplittableRandom(1)));

            assertEquals(ResultCode.DATA_FOLDER_FOREIGN, failure.code());
            assertTrue(failure.getMessage().contains("a/group-0"));
        }

        @Test
        void refusesFolderWithoutIdentity() throws IOException {
            Files.writeString(folder.resolve("something"), "else");

            assertEquals(ResultCode.DATA_FOLDER_FOREIGN, openingFailureCode());
        }

        @Test
        void refusesFolderInUse() {
            try (FileLogStore store = open(folder)) {
                assertEquals(ResultCode.DATA_FOLDER_IN_USE, openingFailureCode());
                assertTrue(store.recovered().isEmpty());
            }
        }

        @Test
        void releasesLockWhenOpeningFails() throws IOException {
            writeTwoBatches();
            final byte[] content = Files.readAllBytes(newestLog());
            content[Segment.HEADER_BYTES + BatchCodec.HEADER_BYTES + 5] ^= 1;
            Files.write(newestLog(), content);
            openingFailureCode();

            assertEquals(ResultCode.DATA_FOLDER_CORRUPT, openingFailureCode());
        }
    }

    /**
     * Compares random operations with a model in memory; each crash keeps, truncates or removes the
     * last, unsynced batch of the file.
     */
    @Nested
    @Tag("fuzz")
    class Fuzzing {
        private static final int CASES = 60;

        @Test
        void recoversSameStateAsModelAfterEachCrash() {
            final FaultCounts<Event> counts = FaultCounts.of(Event.class);
            FuzzSettings.forEachCase(
                    "storage",
                    CASES,
                    seed -> run(folder.resolve(Long.toHexString(seed)), seed, counts));
            counts.print("storage");
            if (!FuzzSettings.isSingleCase()) {
                counts.assertAllOccurred();
            }
        }

        private void run(Path path, long seed, FaultCounts<Event> counts) {
            final SplittableRandom random = new SplittableRandom(seed);
            final ModelLog model = new ModelLog();
            for (int crash = 0; crash < 5; crash++) {
                try (FileLogStore store = open(path)) {
                    model.check(store.recovered());
                    store.saveHardState(model.hardState);
                    for (int step = 0; step < 12; step++) {
                        performRandomOperation(store, model, random, counts);
                    }
                    model.unsynced = model.randomBatch(random);
                    store.append(model.unsynced);
                }
                truncateLastBatch(path, random, model, counts);
            }
        }

        private void performRandomOperation(
                FileLogStore store,
                ModelLog model,
                SplittableRandom random,
                FaultCounts<Event> counts) {
            switch (random.nextInt(8)) {
                case 0 -> {
                    model.hardState = new HardState(++model.term, "b");
                    store.saveHardState(model.hardState);
                }
                case 1 -> {
                    if (!model.entries.isEmpty()) {
                        counts.count(Event.COMPACTED);
                        final LogEntry last =
                                model.entries.get(random.nextInt(model.entries.size()));
                        model.compact(snapshot(last.index(), last.term()));
                        store.compact(model.snapshot.orElseThrow());
                    }
                }
                case 2 -> {
                    if (random.nextInt(4) == 0) {
                        counts.count(Event.INSTALLED);
                        model.install(
                                snapshot(model.lastIndex() + random.nextInt(3), ++model.term));
                        store.install(model.snapshot.orElseThrow());
                    }
                }
                default -> {
                    final List<LogEntry> batch = model.randomBatch(random);
                    if (batch.get(0).index() <= model.lastIndex()) {
                        counts.count(Event.REPLACED);
                    }
                    store.append(batch);
                    store.sync();
                    model.append(batch);
                }
            }
        }

        /** Truncates the file by a random part of the batch that was appended last. */
        private void truncateLastBatch(
                Path path, SplittableRandom random, ModelLog model, FaultCounts<Event> counts) {
            final int bytes = BatchCodec.encode(model.unsynced).limit();
            final int lostBytes =
                    switch (random.nextInt(3)) {
                        case 0 -> 0;
                        case 1 -> bytes;
                        default -> random.nextInt(bytes + 1);
                    };
            final List<Path> files = Segment.list(path);
            final Path newest = files.get(files.size() - 1);
            try {
                final byte[] content = Files.readAllBytes(newest);
                Files.write(newest, Arrays.copyOf(content, content.length - lostBytes));
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
            if (lostBytes == 0) {
                model.append(model.unsynced);
            }
            counts.count(
                    lostBytes == 0 ? Event.KEPT : lostBytes == bytes ? Event.LOST : Event.TORN);
        }
    }

    private enum Event {
        COMPACTED,
        INSTALLED,
        REPLACED,
        KEPT,
        LOST,
        TORN
    }

    /** An in-memory model of the stored state. */
    private static final class ModelLog {
        private final List<LogEntry> entries = new ArrayList<>();
        private HardState hardState = new HardState(1, "a");
        private Optional<SnapshotImage> snapshot = Optional.empty();
        private List<LogEntry> unsynced = List.of();
        private long term = 1;

        private long lastIndex() {
            return snapshot.map(SnapshotImage::index).orElse(0L) + entries.size();
        }

        private List<LogEntry> randomBatch(SplittableRandom random) {
            final long first =
                    lastIndex()
                            + 1
                            - (random.nextInt(3) == 0 ? random.nextInt(entries.size() + 1) : 0);
            return FileLogStoreTest.entries(first, first + random.nextInt(4), ++term);
        }

        private void append(List<LogEntry> batch) {
            entries.removeIf(entry -> entry.index() >= batch.get(0).index());
            entries.addAll(batch);
        }

        private void compact(SnapshotImage image) {
            snapshot = Optional.of(image);
            entries.removeIf(entry -> entry.index() <= image.index());
        }

        private void install(SnapshotImage image) {
            snapshot = Optional.of(image);
            entries.clear();
        }

        private void check(RecoveredState recovered) {
            if (!recovered.isEmpty()) {
                assertEquals(hardState, recovered.hardState());
            }
            assertEquals(describe(entries), describe(recovered.entries()));
            assertEquals(
                    snapshot.map(SnapshotImage::index),
                    recovered.snapshot().map(SnapshotImage::index));
            assertEquals(
                    snapshot.map(SnapshotImage::term),
                    recovered.snapshot().map(SnapshotImage::term));
        }
    }
}
