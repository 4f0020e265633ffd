package org.crocushaven.forwarding;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Stands in for a backend server on loopback; answers requests as told and counts them. */
final class StandInBackend implements AutoCloseable {
    static final String LEAVING = "Leaving";
    static final String NOT_RUN = "Not-Run";
    static final String PAUSE_MILLIS = "Pause-Millis";
    static final String LIMIT = "Limit";
    static final String RESUME_AFTER = "Resume-After";
    private static final int EVENTS = 4;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    private StandInBackend(HttpServer server) {
        this.server = server;
    }

    static StandInBackend start() {
        try {
            final StandInBackend started =
                    new StandInBackend(
                            HttpServer.create(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0));
            started.server.setExecutor(started.executor);
            started.server.createContext("/", started::handle);
            started.server.start();
            return started;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Answers the next request in the given way; requests without one get a whole stream. */
    void answerNext(Answer answer) {
        answers.add(answer);
    }

    int requests() {
        return arrivals.size();
    }

    /** Waits until the given number of requests has arrived. */
    void awaitRequests(int number) {
        final long startNanos = System.nanoTime();
        while (requests() < number) {
            if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
                throw new AssertionError(requests() + " instead of " + number + " requests");
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the times at which requests arrived. */
    List<Long> arrivalNanos() {
        return Collections.unmodifiableList(new ArrayList<>(arrivals));
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        arrivals.add(System.nanoTime());
        exchange.getRequestBody().readAllBytes();
        final Answer next = answers.poll();
        final Answer answer = next == null ? Answer.served() : next;
        answer.awaitRelease();
        answer.headers().forEach(exchange.getResponseHeaders()::set);
        if (answer.status() != 200) {
            exchange.sendResponseHeaders(answer.status(), -1);
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(200, 0);
        final String after = exchange.getRequestHeaders().getFirst(RESUME_AFTER);
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1;
                event <= EVENTS;
                event++) {
            if (answer.breaksAfterEvents() && event == EVENTS / 2) {
                exchange.getResponseBody().write("id: ".getBytes(StandardCharsets.UTF_8));
                exchange.getResponseBody().flush();
                throw new IOException("the stream breaks off here");
            }
            exchange.getResponseBody()
                    .write(("id: " + event + "\ndata: t\n\n").getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        }
        exchange.close();
    }

    /**
     * Describes an answer.
     *
     * @param status its status
     * @param headers its headers
     * @param breaksAfterEvents whether its stream breaks off within an event
     * @param release completes before the answer is given
     */
    record Answer(
            int status,
            Map<String, String> headers,
            boolean breaksAfterEvents,
            Future<Void> release) {
        static Answer served() {
            return of(200, Map.of());
        }

        static Answer of(int status, Map<String, String> headers) {
            return new Answer(status, headers, false, CompletableFuture.completedFuture(null));
        }

        static Answer broken() {
            return new Answer(200, Map.of(), true, CompletableFuture.completedFuture(null));
        }

        Answer releasedBy(Future<Void> other) {
            return new Answer(status, headers, breaksAfterEvents, other);
        }

        private void awaitRelease() throws IOException {
            try {
                release.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            } catch (Exception failure) {
                throw new IOException(failure);
            }
        }
    }
}
