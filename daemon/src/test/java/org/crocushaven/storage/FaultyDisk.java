package org.crocushaven.storage;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.file.FileSystemException;
import java.nio.file.Path;

/**
 * A disk that can be full: operations on the paths that it wraps reach the real folder, and those
 * that need room fail while there is none. Thread-safe.
 */
public final class FaultyDisk {
    private static final String NO_ROOM = "No space left on device";

    private final FaultyFileSystem fileSystem = new FaultyFileSystem(this);
    private Kind kind = Kind.PART_OF_A_WRITE;
    private boolean full;
    private long operationsWithRoom = Long.MAX_VALUE;
    private long operations;
    private long refusals;

    /** Returns a path whose file operations pass this disk. */
    public Path wrap(Path path) {
        return (Path)
                Proxy.newProxyInstance(
                        FaultyDisk.class.getClassLoader(),
                        new Class<?>[] {Path.class, Wrapped.class},
                        new WrappedPath(path));
    }

    /** Returns the path that the disk has wrapped, or the path itself. */
    static Path unwrap(Path path) {
        return path instanceof Wrapped wrapped ? wrapped.delegate() : path;
    }

    /** Lets all operations fail that need room, or lets them succeed again. */
    public synchronized void setFull(boolean isFull) {
        full = isFull;
        operationsWithRoom = Long.MAX_VALUE;
    }

    /** Sets which operations fail while the disk is full. */
    public synchronized void setKind(Kind failing) {
        kind = failing;
    }

    /** Lets the disk be full after a number of further operations that need room. */
    public synchronized void fillAfter(long remaining) {
        full = false;
        operationsWithRoom = operations + remaining;
    }

    /** Returns how many operations that need room there were. */
    public synchronized long operations() {
        return operations;
    }

    /** Returns how many operations found no room. */
    public synchronized long refusals() {
        return refusals;
    }

    /** Fails if an operation on names or on the disk's cache finds no room. */
    synchronized void checkRoom(String operation) throws IOException {
        if (isFullNow() && kind == Kind.EVERY_OPERATION) {
            throw new FileSystemException(operation, null, NO_ROOM);
        }
    }

    /** Fails if a file cannot be closed without an error; it is closed all the same. */
    synchronized void checkClosing() throws IOException {
        if (kind == Kind.WRITES_AND_CLOSING && isFullNow()) {
            throw new IOException(NO_ROOM);
        }
    }

    /** Returns how many bytes of a content find room. */
    synchronized int roomFor(ByteBuffer content) throws IOException {
        if (!isFullNow()) {
            return content.remaining();
        }
        final boolean isFirst = operations == operationsWithRoom + 1;
        if (kind == Kind.PART_OF_A_WRITE && isFirst && content.remaining() > 1) {
            return content.remaining() / 2;
        }
        throw new IOException(NO_ROOM);
    }

    private boolean isFullNow() {
        operations++;
        final boolean isFull = full || operations > operationsWithRoom;
        refusals += isFull ? 1 : 0;
        return isFull;
    }

    /** Which operations fail while the disk is full. */
    public enum Kind {
        /** The first write is cut short; later ones fail. */
        PART_OF_A_WRITE,
        /** Each write fails. */
        WRITES,
        /** Each write, creation, renaming, removal and sync fails. */
        EVERY_OPERATION,
        /** Each write fails, and so does the closing of each file. */
        WRITES_AND_CLOSING
    }

    /** Marks a path of this disk. */
    interface Wrapped {
        Path delegate();
    }

    /** Passes the calls of a path on to the real one and wraps the paths that it returns. */
    private final class WrappedPath implements InvocationHandler {
        private final Path delegate;

        private WrappedPath(Path delegate) {
            this.delegate = delegate;
        }

        @Override
        public Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
            if (method.getName().equals("delegate")) {
                return delegate;
            }
            if (method.getName().equals("getFileSystem")) {
                return fileSystem;
            }
            try {
                final Object result = method.invoke(delegate, unwrapped(arguments));
                return result instanceof Path path ? wrap(path) : result;
            } catch (InvocationTargetException failure) {
                throw failure.getCause();
            }
        }

        private Object[] unwrapped(Object[] arguments) {
            final Object[] plain = arguments == null ? new Object[0] : arguments.clone();
            for (int number = 0; number < plain.length; number++) {
                if (plain[number] instanceof Path path) {
                    plain[number] = unwrap(path);
                }
            }
            return plain;
        }
    }
}
