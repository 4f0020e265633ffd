package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.random.RandomGenerator;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * A locked folder that belongs to one owner and holds the storage identity.
 *
 * <p>The identity is generated once, when the folder is created. A replica that lost its folder
 * therefore restarts with another identity and cannot be mistaken for the replica that voted
 * before.
 */
public final class DataFolder implements AutoCloseable {
    private static final int FORMAT_VERSION = 1;
    private static final String LOCK_FILE = "lock";
    private static final String IDENTITY_FILE = "identity";

    private final Path path;
    private final FileChannel lockChannel;
    private final long identity;

    private DataFolder(Path path, FileChannel lockChannel, long identity) {
        this.path = path;
        this.lockChannel = lockChannel;
        this.identity = identity;
    }

    /**
     * Creates or opens a folder and locks it.
     *
     * @param owner name of the owner, such as instance and group
     * @param random generates the identity of a new folder, which is never 0
     */
    public static DataFolder open(Path path, String owner, RandomGenerator random) {
        final FileChannel channel = lock(path);
        try {
            final Path identityFile = path.resolve(IDENTITY_FILE);
            if (!Files.exists(identityFile)) {
                requireEmpty(path);
                FolderFiles.replace(identityFile, encode(owner, randomIdentity(random)));
            }
            return new DataFolder(path, channel, readIdentity(path, identityFile, owner));
        } catch (ResultException exception) {
            closeChannel(path, channel);
            throw exception;
        }
    }

    /** Returns the path of the folder. */
    public Path path() {
        return path;
    }

    /** Returns the storage identity, generated when the folder was created. */
    public long identity() {
        return identity;
    }

    @Override
    public void close() {
        closeChannel(path, lockChannel);
    }

    private static FileChannel lock(Path path) {
        try {
            Files.createDirectories(path);
            final FileChannel channel =
                    FileChannel.open(
                            path.resolve(LOCK_FILE),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (!tryLock(channel)) {
                channel.close();
                throw ResultException.of(ResultCode.DATA_FOLDER_IN_USE, path);
            }
            return channel;
        } catch (IOException exception) {
            throw FolderFiles.failure(path, exception);
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            final FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException exception) {
            return false;
        }
    }

    /**
     * Fails if a folder without an identity file contains other data: creation stores the identity
     * before any data.
     */
    private static void requireEmpty(Path path) {
        try (var files = Files.list(path)) {
            final boolean foreign =
                    files.map(file -> file.getFileName().toString())
                            .anyMatch(
                                    name ->
                                            !name.equals(LOCK_FILE)
                                                    && !name.startsWith(IDENTITY_FILE));
            if (foreign) {
                throw ResultException.of(
                        ResultCode.DATA_FOLDER_FOREIGN,
                        path,
                        "an unknown owner, since it has no identity file");
            }
        } catch (IOException exception) {
            throw FolderFiles.failure(path, exception);
        }
    }

    private static long readIdentity(Path path, Path identityFile, String owner) {
        final ByteBuffer content = FolderFiles.read(identityFile);
        if (content.remaining() < Integer.BYTES + Long.BYTES) {
            throw FolderFiles.corrupt(identityFile, 0);
        }
        final int version = content.getInt();
        if (version != FORMAT_VERSION) {
            throw ResultException.of(
                    ResultCode.DATA_FOLDER_FOREIGN, path, "a store of format version " + version);
        }
        final long identity = content.getLong();
        final String actualOwner = StandardCharsets.UTF_8.decode(content).toString();
        if (!actualOwner.equals(owner)) {
            throw ResultException.of(ResultCode.DATA_FOLDER_FOREIGN, path, actualOwner);
        }
        return identity;
    }

    private static ByteBuffer encode(String owner, long identity) {
        final byte[] name = owner.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(Integer.BYTES + Long.BYTES + name.length)
                .putInt(FORMAT_VERSION)
                .putLong(identity)
                .put(name)
                .flip();
    }

    private static long randomIdentity(RandomGenerator random) {
        long candidate = random.nextLong();
        while (candidate == 0) {
            candidate = random.nextLong();
        }
        return candidate;
    }

    private static void closeChannel(Path path, FileChannel channel) {
        try {
            channel.close();
        } catch (IOException exception) {
            throw FolderFiles.failure(path, exception);
        }
    }
}
