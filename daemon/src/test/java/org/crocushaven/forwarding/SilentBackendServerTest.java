package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what becomes of an answer while its backend server is silent. */
class SilentBackendServerTest {
    private static final int SLOTS = 4;
    private static final long BYTE_INTERVAL_MILLIS = 20;

    private StandInServer silent;
    private StandInServer other;
    private ForwardingFixture fixture;

    @BeforeEach
    void startServers() throws Exception {
        silent = StandInServer.start("silent");
        other = StandInServer.start("other");
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        silent.close();
        other.close();
    }

    /** Announces both backend servers; new requests go to the silent one. */
    private void use(ForwardingFixture chosen) throws Exception {
        fixture = chosen;
        fixture.announce(silent, SLOTS);
        fixture.announce(other, SLOTS);
        fixture.occupy(other, 1);
    }

    @Nested
    class WithoutReplacement {
        @Test
        void streamIsNotCutWhenRetryBudgetIsSpent() throws Exception {
            use(ForwardingFixture.withOneRetry(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            fixture.spendRetries();
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange stream = silent.awaitRequest().begin().event(1);

            assertEquals("budget", fixture.awaitMissing());
            stream.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
            assertFalse(other.hasRequest());
        }

        @Test
        void streamIsNotCutWhenNoOtherBackendServerHasFreeSlots() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            fixture.occupy(other, 2 * SLOTS);
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange stream = silent.awaitRequest().begin().event(1);

            assertEquals("target", fixture.awaitMissing());
            stream.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void streamIsNotCutWhenTheOtherBackendServerRefusesIt() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange stream = silent.awaitRequest().begin().event(1);

            other.awaitRequest().refuse();
            assertEquals("attempts", fixture.awaitMissing());
            stream.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void streamIsNotCutWhenTheOtherBackendServerBreaksOff() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange stream = silent.awaitRequest().begin().event(1);

            other.awaitRequest().breakOff();
            assertEquals("attempts", fixture.awaitMissing());
            stream.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void idempotentRequestIsNotFailedWhenRetryBudgetIsSpent() throws Exception {
            use(
                    ForwardingFixture.withOneRetry(
                            RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS));
            fixture.spendRetries();
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            final StandInServer.Exchange exchange = silent.awaitRequest();

            assertEquals("budget", fixture.awaitMissing());
            exchange.answer(200, "", "late");

            assertEquals("200 late", answer.awaitEnd());
        }
    }

    @Nested
    class WithReplacement {
        private ForwardingFixture.RecordedAnswer answer;

        private StandInServer.Exchange startStream() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS));
            answer = fixture.start();
            return silent.awaitRequest().begin().event(1);
        }

        @Test
        void streamGoesOnAtTheOneThatAnswersFirst() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest();
            assertEquals("1", second.lastEventId());
            second.begin().event(2).event(3).end();

            assertEquals("id: 1;id: 2;id: 3;", answer.awaitEnd());
            first.awaitClosed();
            assertEquals(0, fixture.requestsAt(silent));
            assertEquals(1, fixture.requestsAt(other));
        }

        /** Bytes are no progress: a stream goes on by whole events. */
        @Test
        void streamIsTakenFromOneThatSendsByteAfterByteOfOneEvent() throws Exception {
            final StandInServer.Exchange stalled = startStream();
            stalled.partialEvent(2);
            final ScheduledExecutorService bytes = Executors.newSingleThreadScheduledExecutor();
            try {
                bytes.scheduleAtFixedRate(
                        () -> writeByte(stalled), 0, BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);

                other.awaitRequest().begin().event(2).end();

                assertEquals("id: 1;id: 2;", answer.awaitEnd());
            } finally {
                bytes.shutdownNow();
            }
        }

        private static void writeByte(StandInServer.Exchange stalled) {
            try {
                stalled.write("1\r\nx\r\n");
            } catch (IOException closed) {
                throw new UncheckedIOException(closed);
            }
        }

        @Test
        void streamStaysAtTheSilentOneWhenThatGoesOnFirst() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest();
            first.event(2);
            second.awaitClosed();
            first.event(3).end();

            assertEquals("id: 1;id: 2;id: 3;", answer.awaitEnd());
            assertEquals(1, fixture.requestsAt(other));
        }

        @Test
        void replacementServesAloneWhenTheSilentOneBreaksOff() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest();
            first.breakOff();
            second.begin().event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void streamDoesNotStayAtTwoBackendServersForLong() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest().begin();
            first.awaitClosed();
            second.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void silentOneIsKeptWhenTheReplacementBreaksOffWithinItsFirstEvent() throws Exception {
            final StandInServer.Exchange first = startStream();

            other.awaitRequest().begin().partialEvent(2).close();
            assertEquals("attempts", fixture.awaitMissing());
            first.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void silentOneIsKeptWhenTheReplacementLeavesOutAnEvent() throws Exception {
            final StandInServer.Exchange first = startStream();

            other.awaitRequest().begin().event(3);
            assertEquals("attempts", fixture.awaitMissing());
            first.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void silentOneIsKeptWhenTheReplacementOnlyRepeatsEvents() throws Exception {
            final StandInServer.Exchange first = startStream();

            other.awaitRequest().begin().event(1).close();
            assertEquals("attempts", fixture.awaitMissing());
            first.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void failedAnswerIsForwardedWhenTheSilentOneNeverAnswers() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.IDEMPOTENT, 1_000));
            answer = fixture.start();
            silent.awaitRequest();

            other.awaitRequest().answer(500, "", "failed");

            assertEquals("500 failed", answer.awaitEnd());
        }

        @Test
        void streamIsNotCutWhenTheReplacementRefusesItLate() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest();
            fixture.passOnLoop(400);
            second.refuse();
            assertEquals("attempts", fixture.awaitMissing());
            first.event(2).end();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void bothAreClosedWhenTheClientDisconnects() throws Exception {
            final StandInServer.Exchange first = startStream();

            final StandInServer.Exchange second = other.awaitRequest();
            fixture.disconnect(answer);

            first.awaitClosed();
            second.awaitClosed();
            assertEquals(0, fixture.requestsAt(silent));
        }

        @Test
        void idempotentRequestGetsTheFirstAnswer() throws Exception {
            use(
                    ForwardingFixture.withRetries(
                            RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS));
            answer = fixture.start();
            final StandInServer.Exchange first = silent.awaitRequest();

            other.awaitRequest().answer(200, "", "other");

            assertEquals("200 other", answer.awaitEnd());
            first.awaitClosed();
        }

        @Test
        void idempotentRequestGetsTheSilentOnesAnswerAfterFailureOfTheOther() throws Exception {
            use(
                    ForwardingFixture.withRetries(
                            RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS));
            answer = fixture.start();
            final StandInServer.Exchange first = silent.awaitRequest();

            other.awaitRequest().answer(500, "", "failed");
            assertEquals("attempts", fixture.awaitMissing());
            first.answer(200, "", "late");

            assertEquals("200 late", answer.awaitEnd());
        }
    }

    @Nested
    class RequestsThatMayRunOnce {
        @Test
        void silentOneIsAwaitedAndNoOtherIsTried() throws Exception {
            use(ForwardingFixture.withRetries(RouteKind.NON_IDEMPOTENT, 400));
            final ForwardingFixture.RecordedAnswer answer = fixture.start();
            silent.awaitRequest();

            assertEquals("refused BACKEND_SERVER_TIMEOUT", answer.awaitEnd());
            assertFalse(other.hasRequest());
        }
    }
}
