package org.crocushaven.protocol;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Passes TCP connections on to a target and, when told to, lets the open ones fall silent: it goes
 * on to read their bytes and to hold them open, as a machine does that lost power.
 */
final class SilenceableRelay implements Closeable {
    private static final int BUFFER_BYTES = 64 << 10;

    private final ServerSocket listening;
    private final int targetPort;
    private final List<Pair> pairs = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile boolean cut;

    private SilenceableRelay(ServerSocket listening, int targetPort) {
        this.listening = listening;
        this.targetPort = targetPort;
    }

    /** Starts a relay to a port of this machine. */
    static SilenceableRelay to(int targetPort) throws IOException {
        final SilenceableRelay relay =
                new SilenceableRelay(
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), targetPort);
        start(relay::acceptAll);
        return relay;
    }

    /** Returns the address on which the relay listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** Lets the open connections fall silent; later ones work. */
    void silenceOpenConnections() {
        pairs.forEach(pair -> pair.silent = true);
    }

    /** Lets all connections fall silent, also later ones, until {@link #heal}. */
    void cut() {
        cut = true;
        silenceOpenConnections();
    }

    /** Lets later connections work. */
    void heal() {
        cut = false;
    }

    /** Returns how many connections were accepted. */
    int acceptedConnections() {
        return accepted.get();
    }

    /** Returns how many connections the connecting side holds open. */
    long openConnections() {
        return pairs.stream().filter(pair -> !pair.ended).count();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        pairs.forEach(Pair::close);
    }

    private void acceptAll() throws IOException {
        while (true) {
            final Socket socket = listening.accept();
            accepted.incrementAndGet();
            final Pair pair = new Pair(socket, new Socket("127.0.0.1", targetPort));
            pair.silent = cut;
            pairs.add(pair);
            start(() -> pair.pass(pair.near, pair.far));
            start(() -> pair.pass(pair.far, pair.near));
        }
    }

    private static void start(Step step) {
        final Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException closed) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }

    private static final class Pair {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;
        private volatile boolean ended;

        private Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void pass(Socket from, Socket to) throws IOException {
            final byte[] buffer = new byte[BUFFER_BYTES];
            final InputStream in = from.getInputStream();
            final OutputStream out = to.getOutputStream();
            try {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, count);
                    }
                }
            } finally {
                ended |= from == near;
                if (!silent) {
                    close();
                }
            }
        }

        private void close() {
            try {
                near.close();
                far.close();
            } catch (IOException closed) {
                ended = true;
            }
        }
    }
}
