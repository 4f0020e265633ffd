package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.result.Execution;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what follows when a backend server says in an answer that it leaves. */
class DepartureNoticesTest {
    private static final String LEAVING = "leaving";
    private static final String STAYING = "staying";
    private static final long LOAD_MILLIS = 100;
    private static final Map<String, String> NOTICE = Map.of(StandInBackend.LEAVING, "1");
    private static final Map<String, String> NOT_RUN_NOTICE =
            Map.of(StandInBackend.LEAVING, "1", StandInBackend.NOT_RUN, "1");

    private NoticeFixture gateway = NoticeFixture.withAttempts(3, 10);

    @AfterEach
    void stop() {
        gateway.close();
    }

    /** Starts a backend server and lets it announce its departure in an answer. */
    private void announceDeparture(StandInBackend.Answer answer) {
        gateway.startBackends(LEAVING);
        gateway.backend(LEAVING).answerNext(answer);
        gateway.request();
        assertEquals(1, gateway.backend(LEAVING).requests());
    }

    private void assertServedBy(String backend) {
        final int before = gateway.backend(backend).requests();
        assertEquals(200, gateway.request().status());
        assertEquals(before + 1, gateway.backend(backend).requests());
    }

    @Nested
    class Announcements {
        @ParameterizedTest
        @ValueSource(ints = {200, 404, 429, 500, 503})
        void countInAnswersOfEveryStatus(int status) {
            announceDeparture(StandInBackend.Answer.of(status, NOTICE));
            gateway.startDistantBackends(STAYING);

            assertServedBy(STAYING);
            assertEquals(List.of("leaving " + LEAVING), gateway.notices());
        }

        @Test
        void countInAnswersToRequestsThatDidNotRun() {
            announceDeparture(StandInBackend.Answer.of(503, NOT_RUN_NOTICE));
            gateway.startDistantBackends(STAYING);

            assertServedBy(STAYING);
        }

        @Test
        void doNotCountInAnswersOfAnotherBackendServerAtTheAddress() {
            announceDeparture(StandInBackend.Answer.of(421, NOTICE));
            gateway.update(1, LEAVING);

            assertServedBy(LEAVING);
        }

        @Test
        void areReportedOnce() {
            gateway.startBackends(LEAVING);
            final CompletableFuture<Void> release = new CompletableFuture<>();
            for (int number = 0; number < 2; number++) {
                gateway.backend(LEAVING)
                        .answerNext(StandInBackend.Answer.of(200, NOTICE).releasedBy(release));
            }
            final NoticeFixture.PendingResult first = gateway.start(() -> {});
            final NoticeFixture.PendingResult second = gateway.start(() -> {});
            gateway.backend(LEAVING).awaitRequests(2);
            release.complete(null);

            assertEquals(200, first.await().status());
            assertEquals(200, second.await().status());
            assertEquals(List.of("leaving " + LEAVING), gateway.notices());
        }
    }

    @Nested
    class Records {
        @Test
        void ofTheSameStartThatSayReadyDoNotTakeDepartureBack() {
            announceDeparture(StandInBackend.Answer.of(200, NOTICE));
            gateway.startDistantBackends(STAYING);
            gateway.update(1, LEAVING);

            for (int number = 0; number < 5; number++) {
                assertServedBy(STAYING);
            }
        }

        @Test
        void ofLaterStartMakeTheBackendServerUsableAgain() {
            announceDeparture(StandInBackend.Answer.of(200, NOTICE));
            gateway.update(2, LEAVING);

            assertServedBy(LEAVING);
        }
    }

    @Nested
    class Requests {
        @Test
        void thatWaitForAdapterAreNotSent() {
            gateway.startBackends(LEAVING);
            gateway.startDistantBackends(STAYING);
            gateway.updateWithoutAdapter(LEAVING, STAYING);
            gateway.grant(LEAVING, LOAD_MILLIS);
            gateway.grant(STAYING, LOAD_MILLIS);

            assertEquals(200, gateway.start(() -> gateway.leave(LEAVING)).await().status());

            assertEquals(0, gateway.backend(LEAVING).requests());
            assertEquals(List.of(LEAVING), gateway.adapterRequests().get(1).excludedBackends());
        }

        @Test
        void whoseConnectionIsUnderWayAreSentElsewhereWithoutRetry() {
            gateway.close();
            gateway = NoticeFixture.withAttempts(1, 0);
            gateway.startBackends(LEAVING);
            gateway.startDistantBackends(STAYING);

            final NoticeFixture.PendingResult pending = gateway.start(() -> gateway.leave(LEAVING));

            assertEquals(200, pending.await().status());
            assertEquals(0, gateway.backend(LEAVING).requests());
            assertEquals(1, gateway.backend(STAYING).requests());
        }

        @Test
        void areNotSentWhereTheLeaderGrantsTheAdapter() {
            gateway.startBackends(LEAVING);
            gateway.startDistantBackends(STAYING);
            gateway.updateWithoutAdapter(LEAVING, STAYING);
            final CompletableFuture<AdapterGrant> grant = new CompletableFuture<>();
            gateway.grantLater(grant);
            final NoticeFixture.PendingResult pending =
                    gateway.start(
                            () -> {
                                gateway.leave(LEAVING);
                                grant.complete(new AdapterGrant(LEAVING, 0, 1));
                            });

            assertEquals(503, pending.await().status());
            assertEquals(0, gateway.backend(LEAVING).requests());
        }

        @Test
        void askTheLeaderForAnotherBackendServer() {
            announceDeparture(StandInBackend.Answer.of(200, NOTICE));
            gateway.startDistantBackends(STAYING);
            gateway.updateWithoutAdapter(STAYING);
            gateway.grant(STAYING, 0);

            assertServedBy(STAYING);
            assertEquals(List.of(LEAVING), gateway.adapterRequests().get(0).excludedBackends());
        }

        @Test
        void thatResumeStreamsGoElsewhere() {
            final CompletableFuture<Void> release = new CompletableFuture<>();
            gateway.startBackends("breaking");
            gateway.backend("breaking")
                    .answerNext(StandInBackend.Answer.broken().releasedBy(release));
            final NoticeFixture.PendingResult pending = gateway.start(() -> {});
            gateway.backend("breaking").awaitRequests(1);
            gateway.startBackends(LEAVING);
            gateway.startDistantBackends(STAYING);
            gateway.runOnLoop(() -> gateway.leave(LEAVING));
            release.complete(null);

            assertTrue(pending.await().complete());
            assertEquals(0, gateway.backend(LEAVING).requests());
            assertEquals(1, gateway.backend(STAYING).requests());
        }

        @Test
        void withoutAnotherBackendServerAreRefusedAsNotRun() {
            announceDeparture(StandInBackend.Answer.of(200, NOTICE));

            final NoticeFixture.Result result = gateway.request();

            assertEquals(503, result.status());
            assertEquals(Execution.NOT_RUN, result.refusal().orElseThrow().execution());
            assertEquals(1, gateway.backend(LEAVING).requests());
        }
    }
}
