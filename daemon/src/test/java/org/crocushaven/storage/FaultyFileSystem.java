package org.crocushaven.storage;

import java.io.IOException;
import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.StandardOpenOption;
import java.nio.file.WatchService;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The file system of a {@link FaultyDisk}; supports what the classes of this package use. */
final class FaultyFileSystem extends FileSystem {
    private static final FileSystem REAL = FileSystems.getDefault();

    private final FaultyDisk disk;
    private final Provider provider = new Provider();

    FaultyFileSystem(FaultyDisk disk) {
        this.disk = disk;
    }

    @Override
    public FileSystemProvider provider() {
        return provider;
    }

    @Override
    public void close() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public boolean isReadOnly() {
        return false;
    }

    @Override
    public String getSeparator() {
        return REAL.getSeparator();
    }

    @Override
    public Iterable<Path> getRootDirectories() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Iterable<FileStore> getFileStores() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Set<String> supportedFileAttributeViews() {
        return REAL.supportedFileAttributeViews();
    }

    @Override
    public Path getPath(String first, String... more) {
        return disk.wrap(REAL.getPath(first, more));
    }

    @Override
    public PathMatcher getPathMatcher(String syntaxAndPattern) {
        throw new UnsupportedOperationException();
    }

    @Override
    public UserPrincipalLookupService getUserPrincipalLookupService() {
        throw new UnsupportedOperationException();
    }

    @Override
    public WatchService newWatchService() {
        throw new UnsupportedOperationException();
    }

    /** Passes operations on files on to the real file system, as far as the disk has room. */
    private final class Provider extends FileSystemProvider {
        @Override
        public String getScheme() {
            return "faulty";
        }

        @Override
        public FileSystem newFileSystem(URI uri, Map<String, ?> environment) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileSystem getFileSystem(URI uri) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Path getPath(URI uri) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileChannel newFileChannel(
                Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
                throws IOException {
            final Path file = FaultyDisk.unwrap(path);
            if (options.contains(StandardOpenOption.CREATE_NEW)
                    || options.contains(StandardOpenOption.CREATE) && Files.notExists(file)) {
                disk.checkRoom("create " + file);
            }
            return new FaultyChannel(disk, FileChannel.open(file, options, attributes));
        }

        @Override
        public SeekableByteChannel newByteChannel(
                Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
                throws IOException {
            return newFileChannel(path, options, attributes);
        }

        @Override
        public DirectoryStream<Path> newDirectoryStream(
                Path directory, DirectoryStream.Filter<? super Path> filter) throws IOException {
            final List<Path> found = new ArrayList<>();
            try (var files = Files.newDirectoryStream(FaultyDisk.unwrap(directory))) {
                for (final Path file : files) {
                    final Path wrapped = disk.wrap(file);
                    if (filter.accept(wrapped)) {
                        found.add(wrapped);
                    }
                }
            }
            return new DirectoryList(found);
        }

        @Override
        public void createDirectory(Path directory, FileAttribute<?>... attributes)
                throws IOException {
            final Path path = FaultyDisk.unwrap(directory);
            if (Files.notExists(path)) {
                disk.checkRoom("create " + path);
            }
            Files.createDirectory(path, attributes);
        }

        @Override
        public void delete(Path path) throws IOException {
            disk.checkRoom("delete " + path);
            Files.delete(FaultyDisk.unwrap(path));
        }

        @Override
        public void copy(Path source, Path target, CopyOption... options) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void move(Path source, Path target, CopyOption... options) throws IOException {
            disk.checkRoom("move " + source);
            Files.move(FaultyDisk.unwrap(source), FaultyDisk.unwrap(target), options);
        }

        @Override
        public boolean isSameFile(Path path, Path other) throws IOException {
            return Files.isSameFile(FaultyDisk.unwrap(path), FaultyDisk.unwrap(other));
        }

        @Override
        public boolean isHidden(Path path) throws IOException {
            return Files.isHidden(FaultyDisk.unwrap(path));
        }

        @Override
        public FileStore getFileStore(Path path) throws IOException {
            return Files.getFileStore(FaultyDisk.unwrap(path));
        }

        @Override
        public void checkAccess(Path path, AccessMode... modes) throws IOException {
            REAL.provider().checkAccess(FaultyDisk.unwrap(path), modes);
        }

        @Override
        public <V extends FileAttributeView> V getFileAttributeView(
                Path path, Class<V> type, LinkOption... options) {
            return Files.getFileAttributeView(FaultyDisk.unwrap(path), type, options);
        }

        @Override
        public <A extends BasicFileAttributes> A readAttributes(
                Path path, Class<A> type, LinkOption... options) throws IOException {
            return Files.readAttributes(FaultyDisk.unwrap(path), type, options);
        }

        @Override
        public Map<String, Object> readAttributes(
                Path path, String attributes, LinkOption... options) throws IOException {
            return Files.readAttributes(FaultyDisk.unwrap(path), attributes, options);
        }

        @Override
        public void setAttribute(Path path, String attribute, Object value, LinkOption... options) {
            throw new UnsupportedOperationException();
        }
    }

    /** The files of a folder that were found. */
    private record DirectoryList(List<Path> files) implements DirectoryStream<Path> {
        @Override
        public Iterator<Path> iterator() {
            return files.iterator();
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }
}
