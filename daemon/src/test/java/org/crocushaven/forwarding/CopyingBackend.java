package org.crocushaven.forwarding;

import java.io.IOException;
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

    private final KeptConnectionServer server;
    private final BlockingQueue<Integer> refusals = new LinkedBlockingQueue<>();
    private final AtomicInteger runs = new AtomicInteger();

    private CopyingBackend() throws IOException {
        server = KeptConnectionServer.start(Copies::new);
    }

    static CopyingBackend start() throws IOException {
        return new CopyingBackend();
    }

    int port() {
        return server.port();
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
        server.close();
    }

    private String answer() {
        final Integer refusal = refusals.poll();
        if (refusal != null) {
            return KeptConnectionBackend.named(IDENTIFIER, refusal, "Not-Run: 1\r\n", "");
        }
        runs.incrementAndGet();
        return KeptConnectionBackend.named(IDENTIFIER, 200, "", "done");
    }

    /** Writes each answer of a connection, and a copy of it in front of the next one. */
    private final class Copies implements KeptConnectionServer.Script {
        private String before = "";

        @Override
        public String next() {
            final String answer = answer();
            final String written = before + answer;
            before = answer;
            return written;
        }
    }
}
