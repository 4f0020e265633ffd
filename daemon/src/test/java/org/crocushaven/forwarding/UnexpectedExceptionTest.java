package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a request ends with an answer when a step after its admission throws. */
class UnexpectedExceptionTest {
    private static final long TIMEOUT_MILLIS = 1_500;

    private StandInServer first;
    private StandInServer second;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        first = StandInServer.start("first");
        second = StandInServer.start("second");
        fixture = ForwardingFixture.withRetries(RouteKind.IDEMPOTENT, TIMEOUT_MILLIS);
        fixture.announce(first, 4);
        fixture.announce(second, 4);
        fixture.occupy(second, 1);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        first.close();
        second.close();
    }

    @Test
    void requestThatCannotBeSentIsNotHeldToItsTimeLimit() throws Exception {
        fixture.failHeaders();

        assertEquals("refused INTERNAL", fixture.start().awaitEnd());
    }

    @Test
    void requestWhoseRetryThrowsAfterRefusalIsNotHeldToItsTimeLimit() throws Exception {
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        final StandInServer.Exchange exchange = first.awaitRequest();
        fixture.failSearches();
        exchange.refuse();

        assertEquals("refused INTERNAL", answer.awaitEnd());
    }

    @Test
    void requestWhoseRetryThrowsAfterBreakOffIsNotHeldToItsTimeLimit() throws Exception {
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        final StandInServer.Exchange exchange = first.awaitRequest();
        fixture.failSearches();
        exchange.breakOff();

        assertEquals("refused INTERNAL", answer.awaitEnd());
    }

    @Test
    void requestWhoseTimeLimitThrowsIsEndedAllTheSame() throws Exception {
        fixture.failAttemptReports();
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        final StandInServer.Exchange exchange = first.awaitRequest();

        assertEquals("refused INTERNAL", answer.awaitEnd());
        exchange.awaitClosed();
    }

    @Test
    void requestForWhichTheOriginOfItsStreamCannotBeReadIsNotHeldToItsTimeLimit() throws Exception {
        fixture.close();
        fixture = ForwardingFixture.withRetries(RouteKind.STREAM, TIMEOUT_MILLIS);
        fixture.takeUpStreams();
        final HeldLeader leader = fixture.holdLeader();
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        fixture.awaitWait(leader);

        fixture.run(() -> leader.answerOrigin(null));

        assertEquals("refused INTERNAL", answer.awaitEnd());
    }
}
