package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how requests end that wait while their route, key or backend server is taken away. */
class WaitBesideChangeTest {
    private static final long LOAD_MILLIS = 6_000;
    private static final long SHORT_LOAD_MILLIS = 200;
    private static final long AT_ONCE_MILLIS = 1_500;

    private StandInServer backend;
    private ForwardingFixture fixture;
    private HeldLeader leader;

    @BeforeEach
    void start() throws Exception {
        backend = StandInServer.start("backend");
        use(RouteKind.IDEMPOTENT);
    }

    private void use(RouteKind kind) throws Exception {
        if (fixture != null) {
            fixture.close();
        }
        fixture = ForwardingFixture.withRetries(kind, ForwardingFixture.TIMEOUT_MILLIS);
        fixture.announce(backend, 4);
        leader = fixture.holdLeader();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        backend.close();
    }

    private ForwardingFixture.RecordedAnswer startAndWait() throws Exception {
        final ForwardingFixture.RecordedAnswer answer = fixture.start();
        fixture.awaitWait(leader);
        return answer;
    }

    @Test
    void oneThatWaitsForTokensIsRefusedWithTheLeadersAnswers() throws Exception {
        fixture.grantNoTokens();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();

        fixture.removeAllRoutes();
        fixture.run(leader::reportAnswered);
        fixture.run(leader::reportAnswered);

        assertEquals("refused SHARE_UNAVAILABLE", answer.awaitEnd());
    }

    @Test
    void oneThatWaitsForTheOriginOfItsStreamIsRefusedWithTheLeadersAnswer() throws Exception {
        use(RouteKind.STREAM);
        fixture.takeUpStreams();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();

        fixture.removeAllRoutes();
        fixture.removeAllBackendServers();
        fixture.run(
                () -> leader.failOrigin(ResultException.of(ResultCode.NO_DISPATCHER, "engines")));

        assertEquals("refused SOFTWARE_VERSION_UNKNOWN", answer.awaitEnd());
    }

    @Test
    void oneThatWaitsForTheLeadersChoiceIsRefusedWhenThatHasLeft() throws Exception {
        fixture.requireAdapter();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();

        fixture.removeAllRoutes();
        fixture.removeAllBackendServers();
        fixture.run(() -> leader.grant(new AdapterGrant("backend", LOAD_MILLIS, 1)));

        assertEquals("refused QUEUE_FULL", answer.awaitEnd());
    }

    @Test
    void oneThatWaitsForItsAdapterIsServedAlthoughItsRouteIsGone() throws Exception {
        fixture.requireAdapter();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();

        fixture.run(() -> leader.grant(new AdapterGrant("backend", SHORT_LOAD_MILLIS, 1)));
        fixture.removeAllRoutes();
        backend.awaitRequest().answer(200, "", "served");

        assertEquals("200 served", answer.awaitEnd());
    }

    @Test
    void oneThatWaitsForItsAdapterIsNotHeldWhenItsBackendServerLeaves() throws Exception {
        fixture.requireAdapter();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();
        final long startNanos = System.nanoTime();

        fixture.run(() -> leader.grant(new AdapterGrant("backend", LOAD_MILLIS, 1)));
        fixture.removeAllRoutes();
        fixture.removeAllBackendServers();
        fixture.awaitWait(leader);
        fixture.run(() -> leader.grant(AdapterGrant.none(1)));

        assertEquals("refused QUEUE_FULL", answer.awaitEnd());
        final long heldMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertEquals(true, heldMillis < AT_ONCE_MILLIS, "held for " + heldMillis + " ms");
    }

    @Test
    void oneThatWaitsForRetryIsRefusedAsNotRunWhenNobodyIsLeft() throws Exception {
        fixture.requireAdapter();
        final ForwardingFixture.RecordedAnswer answer = startAndWait();
        fixture.run(() -> leader.grant(new AdapterGrant("backend", 0, 1)));
        final StandInServer.Exchange exchange = backend.awaitRequest();

        fixture.removeAllRoutes();
        fixture.removeAllBackendServers();
        exchange.refuse();
        fixture.awaitWait(leader);
        fixture.run(() -> leader.grant(AdapterGrant.none(1)));

        assertEquals("refused QUEUE_FULL", answer.awaitEnd());
    }
}
