package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A backend server whose answers never end: it writes as fast as they are read. */
public final class EndlessServer implements AutoCloseable {
    private static final int PIECE_BYTES = 64 << 10;
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final ServerSocket listener;
    private final byte[] beginning;
    private final byte[] piece;
    private final BlockingQueue<Taken> taken = new LinkedBlockingQueue<>();

    private EndlessServer(String beginning, String repeated) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.beginning = beginning.getBytes(StandardCharsets.ISO_8859_1);
        final int repetitions = Math.max(1, PIECE_BYTES / repeated.length());
        this.piece = repeated.repeat(repetitions).getBytes(StandardCharsets.ISO_8859_1);
        startThread(this::acceptAll);
    }

    /**
     * Starts a server.
     *
     * @param beginning what it writes once
     * @param repeated what it writes again and again after that
     */
    public static EndlessServer start(String beginning, String repeated) throws IOException {
        return new EndlessServer(beginning, repeated);
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Waits until the next connection is closed, and returns what was taken of its answer. */
    public Taken awaitClosed() throws InterruptedException {
        final Taken next = taken.poll(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("the connection was not closed");
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                final Socket accepted = listener.accept();
                accepted.setSendBufferSize(SEND_BUFFER_BYTES);
                startThread(() -> answer(accepted));
            } catch (IOException closed) {
                continue;
            }
        }
    }

    private void answer(Socket socket) {
        long bytes = 0;
        long startNanos = System.nanoTime();
        try (socket) {
            readHead(socket);
            startNanos = System.nanoTime();
            final OutputStream out = socket.getOutputStream();
            out.write(beginning);
            while (!listener.isClosed()) {
                out.write(piece);
                bytes += piece.length;
            }
        } catch (IOException closed) {
            final long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            taken.add(new Taken(bytes, millis));
        }
    }

    private static void readHead(Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
    }

    private static void startThread(Runnable action) {
        final Thread thread = new Thread(action, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * What was taken of an answer.
     *
     * @param bytes number of bytes that were taken, including those in the system's buffers
     * @param millis time until the connection was closed
     */
    public record Taken(long bytes, long millis) {}
}
