package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests answers with neither a length nor chunks, which end with their connection. */
class UnframedAnswersTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final int SLOTS = 8;

    private StandInServer first;
    private StandInServer other;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        first = StandInServer.start("first");
        other = StandInServer.start("other");
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        first.close();
        other.close();
    }

    /** Starts a request of the given kind, which goes to the first backend server. */
    private ForwardingFixture.RecordedAnswer startRequest(RouteKind kind) throws Exception {
        fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce(first, SLOTS);
        fixture.announce(other, SLOTS);
        fixture.occupy(other, 1);
        return fixture.start();
    }

    @Nested
    class Streams {
        @Test
        void isWholeWhenItEndsAfterAnEvent() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "id: 1\n\nid: 2\n\n");
            exchange.close();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void beginsElsewhereWhenItEndsBeforeItsFirstEvent() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD);
            exchange.close();
            final StandInServer.Exchange next = other.awaitRequest();
            next.write(HEAD + "id: 1\n\n");
            next.close();

            assertEquals("id: 1;", answer.awaitEnd());
        }

        @Test
        void goesOnElsewhereWhenItEndsWithinAnEvent() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "id: 1\n\nid: 2\nda");
            exchange.close();
            final StandInServer.Exchange next = other.awaitRequest();
            assertEquals("1", next.lastEventId());
            next.write(HEAD + "id: 2\n\n");
            next.close();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }

        @Test
        void doesNotLookCompleteWhenItEndsWithinAnEventForTheSecondTime() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "id: 1\n\nid: 2\nda");
            exchange.close();
            final StandInServer.Exchange next = other.awaitRequest();
            next.write(HEAD + "id: 2\nda");
            next.close();

            assertEquals("aborted after id: 1;", answer.awaitEnd());
        }

        @Test
        void goesOnElsewhereWhenItIsResetAfterAnEvent() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "id: 1\n\n");
            answer.awaitEvents(1);
            exchange.breakOff();
            final StandInServer.Exchange next = other.awaitRequest();
            assertEquals("1", next.lastEventId());
            next.write(HEAD + "id: 2\n\n");
            next.close();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
        }
    }

    @Nested
    class ReplacementsOfSilentBackendServers {
        @Test
        void areForwardedWhole() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange silent = first.awaitRequest();

            final StandInServer.Exchange replacement = other.awaitRequest();
            replacement.write(HEAD + "id: 1\n\nid: 2\n\n");
            replacement.close();

            assertEquals("id: 1;id: 2;", answer.awaitEnd());
            silent.awaitClosed();
        }

        @Test
        void leaveTheStreamToTheSilentOneWhenTheyEndWithinAnEvent() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.STREAM);
            final StandInServer.Exchange silent = first.awaitRequest();

            final StandInServer.Exchange replacement = other.awaitRequest();
            replacement.write(HEAD + "id: 1\nda");
            replacement.close();
            assertEquals("attempts", fixture.awaitMissing());
            silent.write(HEAD + "id: 1\n\n");
            silent.close();

            assertEquals("id: 1;", answer.awaitEnd());
        }
    }

    @Nested
    class WholeAnswers {
        @Test
        void isCompleteWhenItsConnectionIsClosed() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "whole");
            exchange.close();

            assertEquals("200 whole", answer.awaitEnd());
        }

        @Test
        void isCompleteWhenItsConnectionIsHalfClosed() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "whole");
            exchange.closeOutput();

            assertEquals("200 whole", answer.awaitEnd());
            exchange.awaitClosed();
        }

        @Test
        void doesNotLookCompleteWhenItsConnectionIsReset() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "a part");
            fixture.awaitAnswerBytes();
            exchange.breakOff();

            assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        }

        @Test
        void doesNotLookCompleteWhenItsConnectionIsResetAtOnce() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write(HEAD + "a part");
            exchange.breakOff();

            assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        }

        @Test
        void refusalIsSentElsewhere() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\nbusy");
            exchange.close();
            other.awaitRequest().answer(200, "", "whole");

            assertEquals("200 whole", answer.awaitEnd());
        }

        @Test
        void refusalIsSentElsewhereThoughItsConnectionIsReset() throws Exception {
            final ForwardingFixture.RecordedAnswer answer = startRequest(RouteKind.NON_IDEMPOTENT);
            final StandInServer.Exchange exchange = first.awaitRequest();

            exchange.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\nbu");
            final StandInServer.Exchange next = other.awaitRequest();
            exchange.breakOff();
            next.answer(200, "", "whole");

            assertEquals("200 whole", answer.awaitEnd());
        }
    }
}
