package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.crocushaven.fleet.TraitSuspect;
import org.crocushaven.fleet.TraitUpdate;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers get whose prompts end backend servers. */
class CondemnedPromptTest {
    private static final TraitUpdate SUSPECTED =
            new TraitUpdate(1, List.of(new TraitSuspect(66, 2)), List.of(), List.of(), List.of());
    private static final TraitUpdate CONDEMNED =
            new TraitUpdate(
                    2,
                    List.of(),
                    List.of(new TraitVerdict(List.of(66L), List.of(), List.of(), 3, "l", 1, 0)),
                    List.of(),
                    List.of());

    private StandInServer first;
    private StandInServer second;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        first = StandInServer.start("first");
        second = StandInServer.start("second");
        fixture = ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce(first, 4);
        fixture.announce(second, 4);
        fixture.setPromptParts(1, 66, 99);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        first.close();
        second.close();
    }

    private StandInServer.Exchange awaitRequest() throws InterruptedException {
        return (fixture.awaitSend().equals("first") ? first : second).awaitRequest();
    }

    @Test
    void refusedPromptIsNeitherSentNorCharged() throws Exception {
        fixture.allowOneRequest();
        fixture.tellOfTraits(CONDEMNED);

        assertEquals("refused REQUEST_CONDEMNED", fixture.start().awaitEnd());
        assertEquals(0, fixture.pendingSends());

        fixture.setPromptParts(1, 99);
        final ForwardingFixture.RecordedAnswer sound = fixture.start();
        awaitRequest().begin().event(1).end();
        assertEquals("id: 1;", sound.awaitEnd());
    }

    /** Guards against a refusal as not run of a request that has ended a backend server. */
    @Test
    void promptThatIsCondemnedAfterItsFirstSendFailsAndIsNotSentAgain() throws Exception {
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        final StandInServer.Exchange running = awaitRequest().begin();
        fixture.tellOfTraits(CONDEMNED);

        running.close();

        assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        assertEquals(0, fixture.pendingSends());
    }

    @Test
    void suspectPromptIsNotSentAgain() throws Exception {
        fixture.tellOfTraits(SUSPECTED);
        final ForwardingFixture.RecordedAnswer answer = fixture.start();

        awaitRequest().begin().close();

        assertEquals("refused BACKEND_SERVER_FAILED", answer.awaitEnd());
        assertEquals(0, fixture.pendingSends());
    }

    @Test
    void otherPromptIsSentAgain() throws Exception {
        fixture.tellOfTraits(SUSPECTED);
        fixture.setPromptParts(1, 99);
        final ForwardingFixture.RecordedAnswer answer = fixture.start();

        awaitRequest().begin().close();

        awaitRequest().begin().event(1).end();
        assertEquals("id: 1;", answer.awaitEnd());
    }
}
