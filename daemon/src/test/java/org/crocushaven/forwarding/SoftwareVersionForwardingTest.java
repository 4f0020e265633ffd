package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which backend servers may go on with a stream of another one. */
class SoftwareVersionForwardingTest {
    private static final int SLOTS = 4;

    private final ForwardingFixture fixture =
            ForwardingFixture.withRetries(RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS);
    private StandInServer first;
    private StandInServer other;

    @BeforeEach
    void startServers() throws Exception {
        first = StandInServer.start("first");
        other = StandInServer.start("other");
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        first.close();
        other.close();
    }

    /** Announces both backend servers; new requests go to the first one. */
    private void announce(String firstVersion, String otherVersion) throws Exception {
        fixture.announce(first, SLOTS, firstVersion);
        fixture.announce(other, SLOTS, otherVersion);
        fixture.occupy(other, 1);
    }

    @Test
    void silentStreamIsNotReplacedByAnotherVersion() throws Exception {
        announce("v1", "v2");
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        final StandInServer.Exchange stream = first.awaitRequest().begin().event(1);

        assertEquals("target", fixture.awaitMissing());
        stream.event(2).end();

        assertEquals("id: 1;id: 2;", answer.awaitEnd());
        assertFalse(other.hasRequest());
    }

    @Test
    void brokenStreamIsNotResumedAtAnotherVersion() throws Exception {
        announce("v1", "v2");
        final ForwardingFixture.RecordedAnswer answer = fixture.start();

        first.awaitRequest().begin().event(1).breakOff();

        assertEquals("aborted after id: 1;", answer.awaitEnd());
        assertFalse(other.hasRequest());
    }

    @Test
    void brokenStreamIsResumedAtItsVersion() throws Exception {
        announce("v1", "v1");
        final ForwardingFixture.RecordedAnswer answer = fixture.start();

        first.awaitRequest().begin().event(1).breakOff();
        other.awaitRequest().begin().event(2).end();

        assertEquals("id: 1;id: 2;", answer.awaitEnd());
    }

    @Test
    void streamWithoutEventMayBeginAtAnotherVersion() throws Exception {
        announce("v1", "v2");
        final ForwardingFixture.RecordedAnswer answer = fixture.start();

        first.awaitRequest().begin().breakOff();
        other.awaitRequest().begin().event(1).end();

        assertEquals("id: 1;", answer.awaitEnd());
    }
}
