package org.crocushaven.forwarding;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that keeps its connections and writes, for each request, the bytes that the test
 * has queued for it, whatever they are.
 */
final class KeptConnectionBackend implements AutoCloseable {
    private final KeptConnectionServer server;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();

    private KeptConnectionBackend() throws IOException {
        server = KeptConnectionServer.start(this::opened);
    }

    static KeptConnectionBackend start() throws IOException {
        return new KeptConnectionBackend();
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
        return server.port();
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
        server.close();
    }

    private KeptConnectionServer.Script opened() {
        connections.incrementAndGet();
        return this::nextAnswer;
    }

    private String nextAnswer() throws IOException {
        requests.incrementAndGet();
        try {
            final String next = answers.poll(ForwardingFixture.AWAIT_MILLIS, TimeUnit.MILLISECONDS);
            if (next == null) {
                throw new IOException("no answer is queued");
            }
            return next;
        } catch (InterruptedException stopped) {
            throw new IOException(stopped);
        }
    }
}
