package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests idle connections to a backend server that have all gone silent without being closed. */
class SilentIdleConnectionsTest {
    private static final int CONNECTIONS = 3;

    private StandInServer server;
    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        server = StandInServer.start("server");
        fixture =
                ForwardingFixture.withRetries(
                        RouteKind.IDEMPOTENT, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce(server, 8);
        fixture.nameRequestsApart();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        server.close();
    }

    private void openIdleConnections() throws Exception {
        final StandInServer.Exchange[] exchanges = new StandInServer.Exchange[CONNECTIONS];
        for (int number = 0; number < CONNECTIONS; number++) {
            fixture.start();
            exchanges[number] = server.awaitRequest();
        }
        for (int number = 0; number < CONNECTIONS; number++) {
            exchanges[number].write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: request-"
                            + (number + 1)
                            + "\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok");
        }
        fixture.awaitBytes();
    }

    /** Guards against each of them being tried once more, by one request after the other. */
    @Test
    void onlyTheFirstRequestMeetsOne() throws Exception {
        openIdleConnections();
        fixture.start();
        fixture.passOnLoop(ForwardingFixture.SILENCE_MILLIS);

        final ForwardingFixture.RecordedAnswer next = fixture.start();
        server.awaitRequest().answer(200, "", "served");

        assertEquals("200 served", next.awaitEnd());
    }
}
