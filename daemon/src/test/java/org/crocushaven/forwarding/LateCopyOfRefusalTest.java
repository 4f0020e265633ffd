package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests whose backend server writes a refusal once more on a connection that is kept. */
class LateCopyOfRefusalTest {
    private static final String BACKEND = "backend";
    private static final long LOAD_MILLIS = 20;

    private ForwardingFixture fixture;
    private CopyingBackend backend;

    @BeforeEach
    void start() throws Exception {
        backend = CopyingBackend.start();
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.NON_IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce(BACKEND, backend.port(), 4, "");
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        backend.close();
    }

    @Nested
    class OfRequestThatIsSentAgain {
        private HeldLeader leader;

        private ForwardingFixture.RecordedAnswer startAtLoadingBackend() throws Exception {
            fixture.requireAdapter();
            leader = fixture.holdLeader();
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            grant();
            return answer;
        }

        private void grant() throws Exception {
            fixture.awaitWait(leader);
            fixture.run(() -> leader.grant(new AdapterGrant(BACKEND, LOAD_MILLIS, 1)));
        }

        // Guards against: a copy of the refusal of the first send was taken for the answer to the
        // second one, and a request that may run once ran twice.
        @Test
        void doesNotMakeItRunTwiceAfterItWasShed() throws Exception {
            backend.refuseNext(503);

            assertEquals("200 done", startAtLoadingBackend().awaitEnd());
            assertEquals(1, backend.runs());
        }

        // Guards against: the same after an adapter that was not there yet (421).
        @Test
        void doesNotMakeItRunTwiceAfterItsAdapterWasMissing() throws Exception {
            backend.refuseNext(421);
            final ForwardingFixture.RecordedAnswer answer = startAtLoadingBackend();
            grant();

            assertEquals("200 done", answer.awaitEnd());
            assertEquals(1, backend.runs());
        }
    }

    @Nested
    class OfRequestThatItsClientBringsBack {
        // Guards against: the client was told "not run" by the refusal of its first try while the
        // backend server ran the second one.
        @Test
        void isNotGivenToTheClientWhileItRuns() throws Exception {
            backend.refuseNext(503);
            fixture.start().awaitEnd();

            assertEquals("200 done", fixture.start().awaitEnd());
            assertEquals(1, backend.runs());
        }

        // Guards against: a copy of the answer to the first try was given for the second one, which
        // the backend server had not begun or had failed.
        @Test
        void isNotAnsweredWithAnEarlierAnswer() throws Exception {
            assertEquals("200 done", fixture.start().awaitEnd());

            assertEquals("200 done", fixture.start().awaitEnd());
            assertEquals(2, backend.runs());
        }
    }
}
