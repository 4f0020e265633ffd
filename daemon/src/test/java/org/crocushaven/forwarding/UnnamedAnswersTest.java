package org.crocushaven.forwarding;

import static org.crocushaven.forwarding.KeptConnectionBackend.named;
import static org.crocushaven.forwarding.KeptConnectionBackend.unnamed;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests second answers that name no request, on a connection whose answers name theirs. */
class UnnamedAnswersTest {
    private static final String NOT_RUN = "Not-Run: 1\r\n";
    private static final String COPY = unnamed(200, "", "copy");

    private KeptConnectionBackend backend;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        backend = KeptConnectionBackend.start();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        backend.close();
    }

    /** Serves a first request, so that the next one gets a connection that was used before. */
    private void serveFirst(RouteKind kind) throws Exception {
        fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.nameRequestsApart();
        fixture.announce("backend", backend.port(), 4, "");
        backend.answerNext(named("request-1", 200, "", "id: 1\n\n"));
        fixture.start().awaitEnd();
    }

    private String second(String... bytes) throws Exception {
        backend.answerNext(bytes);
        return fixture.start().awaitEnd();
    }

    // Guards against: a success was passed on where the backend server had answered a failure.
    @Nested
    class BeforeFailureOfTheNextRequest {
        @Test
        void isNotTheAnswerToRequestThatMayBeRepeated() throws Exception {
            serveFirst(RouteKind.IDEMPOTENT);

            assertEquals("404 own", second(COPY, named("request-2", 404, "", "own")));
        }

        @Test
        void isNotTheAnswerToRequestThatMayRunOnce() throws Exception {
            serveFirst(RouteKind.NON_IDEMPOTENT);

            assertEquals("404 own", second(COPY, named("request-2", 404, "", "own")));
        }

        @Test
        void isNotTheAnswerToStream() throws Exception {
            serveFirst(RouteKind.STREAM);

            assertEquals(
                    "404 own",
                    second(unnamed(200, "", "id: 7\n\n"), named("request-2", 404, "", "own")));
        }

        @Test
        void isNotTheAnswerWhenSeveralCome() throws Exception {
            serveFirst(RouteKind.IDEMPOTENT);

            assertEquals("404 own", second(COPY, COPY, named("request-2", 404, "", "own")));
        }
    }

    @Nested
    class OfRefusal {
        // Guards against: a client was told "not run" for a request that its server ran.
        @Test
        void isNotTheAnswerToRequestThatRuns() throws Exception {
            serveFirst(RouteKind.NON_IDEMPOTENT);

            assertEquals(
                    "200 own",
                    second(unnamed(503, NOT_RUN, ""), named("request-2", 200, "", "own")));
            assertEquals(2, backend.requests());
        }
    }

    @Nested
    class OnConnectionsWithoutNames {
        // Guards against: a server that never names requests could not be told from a faulty one.
        @Test
        void eachRequestGetsItsOwnConnection() throws Exception {
            fixture =
                    ForwardingFixture.withRetries(
                            RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
            fixture.announce("backend", backend.port(), 4, "");
            fixture.nameRequestsApart();
            backend.answerNext(unnamed(200, "", "first"));
            backend.answerNext(unnamed(200, "", "second"));

            assertEquals("200 first", fixture.start().awaitEnd());
            assertEquals("200 second", fixture.start().awaitEnd());
            assertEquals(2, backend.connections());
        }
    }

    @Nested
    class OfRequestsWithoutName {
        // Guards against: a request without identifier never got its answer, which bears none.
        @Test
        void areTakenOnConnectionsOfTheirOwn() throws Exception {
            serveFirst(RouteKind.NON_IDEMPOTENT);
            fixture.nameNoRequests();

            assertEquals("200 own", second(unnamed(200, "", "own")));
            assertEquals(2, backend.connections());
        }
    }
}
