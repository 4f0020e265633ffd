package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads and writes the snapshot files of a data folder; only the newest snapshot is kept. */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

    private final Path folder;

    SnapshotFiles(Path folder) {
        this.folder = folder;
    }

    /** Stores a snapshot durably, then deletes all other snapshots. */
    void save(SnapshotImage snapshot) {
        final Path file =
                folder.resolve(PREFIX + String.format(Locale.ROOT, "%020d", snapshot.index()));
        FolderFiles.replace(file, encode(snapshot));
        try {
            for (Path older : list()) {
                if (!older.equals(file)) {
                    Files.deleteIfExists(older);
                }
            }
        } catch (IOException exception) {
            throw FolderFiles.failure(file, exception);
        }
    }

    /** Returns the newest snapshot; empty when there is none. */
    Optional<SnapshotImage> load() {
        return list().stream().max(Comparator.naturalOrder()).map(SnapshotFiles::decode);
    }

    private List<Path> list() {
        try (var files = Files.list(folder)) {
            return files.filter(SnapshotFiles::isSnapshot).toList();
        } catch (IOException exception) {
            throw FolderFiles.failure(folder, exception);
        }
    }

    private static boolean isSnapshot(Path file) {
        final String name = file.getFileName().toString();
        return name.startsWith(PREFIX) && Character.isDigit(name.charAt(name.length() - 1));
    }

    private static ByteBuffer encode(SnapshotImage snapshot) {
        final int bytes = HEADER_BYTES + snapshot.configuration().length + snapshot.data().length;
        return ByteBuffer.allocate(bytes)
                .putLong(snapshot.index())
                .putLong(snapshot.term())
                .putInt(snapshot.configuration().length)
                .put(snapshot.configuration())
                .put(snapshot.data())
                .flip();
    }

    private static SnapshotImage decode(Path file) {
        final ByteBuffer content = FolderFiles.read(file);
        final long index = content.getLong();
        final long term = content.getLong();
        final byte[] configuration = new byte[content.getInt()];
        content.get(configuration);
        final byte[] data = new byte[content.remaining()];
        content.get(data);
        return new SnapshotImage(index, term, configuration, data);
    }
}
