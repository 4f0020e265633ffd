package org.crocushaven.forwarding;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that keeps its connections and writes, for each request, the bytes that the test
 * has queued for it, whatever they are.
 */
final class KeptConnectionBackend implements AutoCloseable {
    private final ServerSocket listener;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();

    private KeptConnectionBackend(ServerSocket listener) {
        this.listener = listener;
        startThread(this::acceptAll);
    }

    static KeptConnectionBackend start() throws IOException {
        return new KeptConnectionBackend(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    }

    /** Returns an answer that names its request. */
    static String named(String requestId, int status, String headers, String body) {
        return unnamed(status, "Request-Id: " + requestId + "\r\n" + headers, body);
    }

    /** Returns an answer that names no request. */
    static String unnamed(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Queues the bytes that are written for the next request, in one packet. */
    void answerNext(String... parts) {
        answers.add(String.join("", parts));
    }

    /** Returns the number of requests that have arrived. */
    int requests() {
        return requests.get();
    }

    /** Returns the number of connections that were opened. */
    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                final Socket socket = listener.accept();
                connections.incrementAndGet();
                startThread(() -> serve(socket));
            } catch (IOException closed) {
                continue;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            final BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            while (readRequest(reader)) {
                requests.incrementAndGet();
                socket.getOutputStream().write(nextAnswer());
                socket.getOutputStream().flush();
            }
        } catch (IOException closed) {
            return;
        }
    }

    private byte[] nextAnswer() throws IOException {
        try {
            final String next = answers.poll(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
            if (next == null) {
                throw new IOException("no answer is queued");
            }
            return next.getBytes(StandardCharsets.US_ASCII);
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
    }

    private static boolean readRequest(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return line != null;
    }

    private static void startThread(Runnable task) {
        final Thread thread = new Thread(task, "kept-connection-backend");
        thread.setDaemon(true);
        thread.start();
    }
}
