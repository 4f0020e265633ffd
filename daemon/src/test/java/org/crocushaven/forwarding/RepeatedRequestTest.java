package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests that come again when their connection has carried many others since. */
class RepeatedRequestTest {
    private static final int OTHERS = 70;

    private KeptConnectionBackend backend;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        backend = KeptConnectionBackend.start();
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.NON_IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce("backend", backend.port(), 4, "");
        fixture.nameRequestsApart();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        backend.close();
    }

    private void serve(int number) throws Exception {
        backend.answerNext(
                KeptConnectionBackend.named(
                        "request-" + number, 200, "Keep-Alive: timeout=60\r\n", "own"));
        assertEquals("200 own", fixture.start().awaitEnd());
    }

    @Nested
    class AfterManyOthers {
        // Guards against: a copy of the answer to its first send came where its second was due.
        @Test
        void getsAnotherConnection() throws Exception {
            for (int number = 1; number <= OTHERS; number++) {
                serve(number);
            }
            assertEquals(1, backend.connections());
            fixture.nameRequestsAgain();

            serve(1);

            assertEquals(2, backend.connections());
        }
    }
}
