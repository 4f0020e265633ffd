package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** File operations shared by the classes that access a data folder. */
final class FolderFiles {
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private FolderFiles() {}

    /**
     * Replaces a file atomically and durably: after a crash it has either its old or new content.
     */
    static void replace(Path file, ByteBuffer content) {
        final Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        final ByteBuffer checksum = ByteBuffer.allocate(CHECKSUM_BYTES);
        checksum.putInt(checksumOf(content.duplicate())).flip();
        try {
            try (FileChannel channel =
                    FileChannel.open(
                            temporary,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.TRUNCATE_EXISTING,
                            StandardOpenOption.WRITE)) {
                writeFully(channel, checksum);
                writeFully(channel, content.duplicate());
                channel.force(true);
            }
            Files.move(
                    temporary,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            syncFolder(file.getParent());
        } catch (IOException exception) {
            throw failure(file, exception);
        }
    }

    /**
     * Reads a file written by {@link #replace}; fails with {@code DATA_FOLDER_CORRUPT} when its
     * checksum does not match.
     */
    static ByteBuffer read(Path file) {
        try {
            final ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
            if (content.remaining() < CHECKSUM_BYTES) {
                throw corrupt(file, 0);
            }
            final int checksum = content.getInt();
            if (checksum != checksumOf(content.duplicate())) {
                throw corrupt(file, 0);
            }
            return content.slice();
        } catch (IOException exception) {
            throw failure(file, exception);
        }
    }

    static void writeFully(FileChannel channel, ByteBuffer content) throws IOException {
        while (content.hasRemaining()) {
            channel.write(content);
        }
    }

    /** Makes the creation, renaming and removal of files in a folder durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static int checksumOf(ByteBuffer content) {
        final CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }

    static ResultException failure(Path path, IOException cause) {
        return ResultException.of(ResultCode.DATA_FOLDER_IO, path, cause);
    }

    static ResultException corrupt(Path file, long position) {
        return ResultException.of(ResultCode.DATA_FOLDER_CORRUPT, file, Long.toString(position));
    }
}
