package org.crocushaven.bench.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds TCP ports that nothing uses at the moment, and that no other search finds while this
 * process lives.
 *
 * <p>Ports are divided into blocks. A search keeps the first port of a block bound, which shows the
 * searches of all processes that the rest of the block is taken, although the servers for which
 * they were found have not bound them yet.
 *
 * <p>They lie below the range from which the operating system takes the ports of outgoing
 * connections, so that none of those occupies a port before its server listens.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 16_384;
    private static final int PORTS_PER_BLOCK = 16;
    private static final int BLOCK_COUNT = 1_024;

    /** The bound first ports of the blocks that this process has taken. */
    private static final List<ServerSocket> BLOCKS_TAKEN = new ArrayList<>();

    private FreePorts() {}

    /** Returns the given number of different free ports. */
    public static List<Integer> find(int count) throws IOException {
        final int block = ThreadLocalRandom.current().nextInt(BLOCK_COUNT);
        return findFrom(FIRST_PORT + block * PORTS_PER_BLOCK, count);
    }

    /** Returns the given number of different free ports; the search begins at a port's block. */
    static synchronized List<Integer> findFrom(int port, int count) throws IOException {
        final List<Integer> found = new ArrayList<>();
        final int firstBlock = (port - FIRST_PORT) / PORTS_PER_BLOCK;
        for (int tried = 0; tried < BLOCK_COUNT && found.size() < count; tried++) {
            final int block = (firstBlock + tried) % BLOCK_COUNT;
            found.addAll(takeBlock(FIRST_PORT + block * PORTS_PER_BLOCK));
        }
        if (found.size() < count) {
            throw new IOException("fewer than " + count + " ports are free");
        }
        return List.copyOf(found.subList(0, count));
    }

    /** Returns the free ports of a block after its first one; none if the block is taken. */
    private static List<Integer> takeBlock(int firstPort) throws IOException {
        final Optional<ServerSocket> first = bind(firstPort);
        if (first.isEmpty()) {
            return List.of();
        }
        BLOCKS_TAKEN.add(first.get());
        final List<Integer> free = new ArrayList<>();
        for (int port = firstPort + 1; port < firstPort + PORTS_PER_BLOCK; port++) {
            if (isFree(port)) {
                free.add(port);
            }
        }
        return free;
    }

    private static boolean isFree(int port) throws IOException {
        final Optional<ServerSocket> socket = bind(port);
        if (socket.isPresent()) {
            socket.get().close();
        }
        return socket.isPresent();
    }

    private static Optional<ServerSocket> bind(int port) {
        try {
            return Optional.of(new ServerSocket(port));
        } catch (IOException occupied) {
            return Optional.empty();
        }
    }
}
