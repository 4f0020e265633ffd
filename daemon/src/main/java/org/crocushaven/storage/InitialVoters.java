package org.crocushaven.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Stores the initial voters of a new group on disk, for use until its log has them. */
public final class InitialVoters {
    private static final String FILE = "first-voters";
    private static final String SEPARATOR = "\n";

    private InitialVoters() {}

    /**
     * Returns the stored initial voters; if none are stored, stores and returns the proposed ones.
     *
     * @param folder the data folder of the instance
     * @param proposed initial voters of a new group; empty when no group is created, and then
     *     nothing is stored
     */
    public static List<String> loadOrStore(Path folder, List<String> proposed) {
        final Path file = folder.resolve(FILE);
        if (Files.exists(file)) {
            final ByteBuffer content = FolderFiles.read(file);
            final byte[] text = new byte[content.remaining()];
            content.get(text);
            return List.of(new String(text, StandardCharsets.UTF_8).split(SEPARATOR));
        }
        if (!proposed.isEmpty()) {
            try {
                Files.createDirectories(folder);
            } catch (java.io.IOException failure) {
                throw FolderFiles.failure(folder, failure);
            }
            FolderFiles.replace(
                    file,
                    ByteBuffer.wrap(
                            String.join(SEPARATOR, proposed).getBytes(StandardCharsets.UTF_8)));
        }
        return proposed;
    }
}
