package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which requests are charged to their organisation in the end. */
class ChargeRefundTest {
    private static final long SHORT_TIMEOUT_MILLIS = 300;

    private StandInServer server;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        server = StandInServer.start("server");
        fixture = ForwardingFixture.withRetries(RouteKind.NON_IDEMPOTENT, SHORT_TIMEOUT_MILLIS);
        fixture.announce(server, 4);
        fixture.allowOneRequest();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        server.close();
    }

    @Test
    void requestThatMayHaveRunAtItsTimeLimitIsNotRefunded() throws Exception {
        final ForwardingFixture.RecordedAnswer first = fixture.start();
        server.awaitRequest();
        assertEquals("refused BACKEND_SERVER_TIMEOUT", first.awaitEnd());

        assertEquals("refused RATE_EXCEEDED", fixture.start().awaitEnd());
    }

    @Test
    void requestThatMayHaveRunWhenItsClientLeavesIsNotRefunded() throws Exception {
        final ForwardingFixture.RecordedAnswer first = fixture.start();
        server.awaitRequest();
        fixture.disconnect(first);

        assertEquals("refused RATE_EXCEEDED", fixture.start().awaitEnd());
    }

    @Test
    void requestThatDidNotRunIsRefunded() throws Exception {
        final ForwardingFixture.RecordedAnswer first = fixture.start();
        server.awaitRequest().refuse();
        assertEquals("refused NO_BACKEND_SERVER", first.awaitEnd());

        final ForwardingFixture.RecordedAnswer second = fixture.start();
        server.awaitRequest().answer(200, "", "served");
        assertEquals("200 served", second.awaitEnd());
    }
}
