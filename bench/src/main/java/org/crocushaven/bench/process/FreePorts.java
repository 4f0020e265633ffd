package org.crocushaven.bench.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds TCP ports that nothing uses at the moment.
 *
 * <p>They lie below the range from which the operating system takes the ports of outgoing
 * connections, so that none of those occupies a port before its server listens.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 16_384;
    private static final int PORT_COUNT = 16_384;

    private FreePorts() {}

    /** Returns the given number of different free ports. */
    public static List<Integer> find(int count) throws IOException {
        final List<Integer> found = new ArrayList<>();
        final int start = ThreadLocalRandom.current().nextInt(PORT_COUNT);
        for (int tried = 0; tried < PORT_COUNT && found.size() < count; tried++) {
            final int port = FIRST_PORT + (start + tried) % PORT_COUNT;
            if (isFree(port)) {
                found.add(port);
            }
        }
        if (found.size() < count) {
            throw new IOException("fewer than " + count + " ports are free");
        }
        return found;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException occupied) {
            return false;
        }
    }
}
