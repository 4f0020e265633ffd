package org.crocushaven.forwarding;

import static org.crocushaven.forwarding.KeptConnectionBackend.named;
import static org.crocushaven.forwarding.KeptConnectionBackend.unnamed;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests an answer that names no request, after one that names another request. */
class UnnamedRestTest {
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

    private String answerTo(RouteKind kind) throws Exception {
        fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.nameRequestsApart();
        fixture.announce("backend", backend.port(), 4, "");
        backend.answerNext(
                named("request-of-another", 200, "", "copy"),
                unnamed(200, "", "rest"),
                named("request-1", 404, "", "own"));
        return fixture.start().awaitEnd();
    }

    // Guards against: the rest of another request's answer, which states too short a length, was
    // passed on as the first answer of its connection.
    @Nested
    class OnConnectionThatNamedOnlyAnotherRequest {
        @Test
        void isNotTheAnswerToRequestThatMayBeRepeated() throws Exception {
            assertEquals("404 own", answerTo(RouteKind.IDEMPOTENT));
        }

        @Test
        void isNotTheAnswerToRequestThatMayRunOnce() throws Exception {
            assertEquals("404 own", answerTo(RouteKind.NON_IDEMPOTENT));
        }
    }
}
