package org.crocushaven.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** A channel of a file on a {@link FaultyDisk}. */
final class FaultyChannel extends FileChannel {
    private final FaultyDisk disk;
    private final FileChannel delegate;

    FaultyChannel(FaultyDisk disk, FileChannel delegate) {
        this.disk = disk;
        this.delegate = delegate;
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        return delegate.read(destination);
    }

    @Override
    public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
        return delegate.read(destinations, offset, length);
    }

    @Override
    public int read(ByteBuffer destination, long position) throws IOException {
        return delegate.read(destination, position);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        final int room = disk.roomFor(source);
        final ByteBuffer part = source.slice(source.position(), room);
        final int written = delegate.write(part);
        source.position(source.position() + written);
        return written;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int write(ByteBuffer source, long position) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long position() throws IOException {
        return delegate.position();
    }

    @Override
    public FileChannel position(long newPosition) throws IOException {
        delegate.position(newPosition);
        return this;
    }

    @Override
    public long size() throws IOException {
        return delegate.size();
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        disk.checkRoom("truncate");
        delegate.truncate(size);
        return this;
    }

    @Override
    public void force(boolean metadata) throws IOException {
        disk.checkRoom("sync");
        delegate.force(metadata);
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return delegate.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return delegate.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        delegate.close();
        disk.checkClosing();
    }
}
