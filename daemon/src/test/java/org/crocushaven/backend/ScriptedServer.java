package org.crocushaven.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A backend server that queues each request, so that the test can answer it with arbitrary bytes.
 */
public final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();

    private ScriptedServer(ServerSocket listener) {
        this.listener = listener;
    }

    /** Starts a server on a free port of the loopback address. */
    public static ScriptedServer start() {
        try {
            final ScriptedServer server =
                    new ScriptedServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
            daemon(server::accept);
            return server;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the registered properties of this server, with the given number of slots. */
    public BackendServer describe(int adapterSlots) {
        return new BackendServer(
                "e1", "s", "a", "127.0.0.1", listener.getLocalPort(), 1, adapterSlots, 4, true);
    }

    /** Returns the next request; fails if none arrives within 10 seconds. */
    public Received next() throws InterruptedException {
        final Received next = received.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no request arrived");
        }
        return next;
    }

    boolean hasNoRequest() {
        return received.isEmpty();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                final Socket socket = listener.accept();
                daemon(() -> read(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void read(Socket socket) {
        final CompletableFuture<Void> closed = new CompletableFuture<>();
        try {
            String request = readRequest(socket.getInputStream());
            while (!request.isEmpty()) {
                received.add(new Received(request, socket, closed));
                request = readRequest(socket.getInputStream());
            }
        } catch (IOException failure) {
            // The test or the client has closed the connection; no more requests can arrive on it.
        } finally {
            closed.complete(null);
        }
    }

    private static String readRequest(InputStream input) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            final int next = input.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        final String text = head.toString(StandardCharsets.ISO_8859_1);
        final int at = text.toLowerCase(Locale.ROOT).indexOf("content-length: ");
        if (at < 0) {
            return text;
        }
        final int start = at + "content-length: ".length();
        final int length = Integer.parseInt(text.substring(start, text.indexOf('\r', start)));
        return text + new String(input.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static void daemon(Runnable action) {
        final Thread thread = new Thread(action, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * A received request.
     *
     * @param text head and body of the request
     * @param socket connection on which it arrived
     * @param closed completes when the connection has been closed
     */
    public record Received(String text, Socket socket, CompletableFuture<Void> closed) {
        /** Writes the given text to the connection of the request. */
        public Received answer(String bytes) {
            try {
                final OutputStream output = socket.getOutputStream();
                output.write(bytes.getBytes(StandardCharsets.UTF_8));
                output.flush();
                return this;
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }

        /** Closes the connection of the request. */
        public void closeConnection() {
            try {
                socket.close();
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }
}
