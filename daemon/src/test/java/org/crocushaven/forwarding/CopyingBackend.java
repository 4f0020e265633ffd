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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that keeps its connections and, where it has answered before on one, writes a
 * copy of that answer in front of the next one. It names the request of every answer.
 */
final class CopyingBackend implements AutoCloseable {
    /** Identifier of all requests of {@link ForwardingFixture}. */
    private static final String IDENTIFIER = ChatRequestBuilder.plain().build().requestId();

    private final ServerSocket listener;
    private final BlockingQueue<Integer> refusals = new LinkedBlockingQueue<>();
    private final AtomicInteger runs = new AtomicInteger();

    private CopyingBackend(ServerSocket listener) {
        this.listener = listener;
        startThread(this::acceptAll);
    }

    static CopyingBackend start() throws IOException {
        return new CopyingBackend(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Refuses the next request, as not run, with the given status. */
    void refuseNext(int status) {
        refusals.add(status);
    }

    /** Returns the number of requests that ran. */
    int runs() {
        return runs.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                final Socket socket = listener.accept();
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
            String before = "";
            while (readRequest(reader)) {
                final String answer = answer();
                write(socket, before + answer);
                before = answer;
            }
        } catch (IOException closed) {
            return;
        }
    }

    private String answer() {
        final Integer refusal = refusals.poll();
        if (refusal != null) {
            return head(refusal, "Not-Run: 1\r\n", 0);
        }
        runs.incrementAndGet();
        return head(200, "", 4) + "done";
    }

    private static String head(int status, String headers, int length) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nRequest-Id: "
                + IDENTIFIER
                + "\r\n"
                + headers
                + "Content-Length: "
                + length
                + "\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static boolean readRequest(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return line != null;
    }

    private static void startThread(Runnable task) {
        final Thread thread = new Thread(task, "copying-backend");
        thread.setDaemon(true);
        thread.start();
    }
}
