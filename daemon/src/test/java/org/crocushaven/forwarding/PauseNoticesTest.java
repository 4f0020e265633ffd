package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.result.Execution;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what follows when a backend server turns a request away and wants a pause. */
class PauseNoticesTest {
    private static final String PAUSING = "pausing";
    private static final String OTHER = "other";
    private static final long PAUSE_MILLIS = 60_000;
    private static final long SHORT_PAUSE_MILLIS = 300;
    private static final long LOAD_MILLIS = 100;
    private static final long FIRST_RECORD_MILLIS = 2_000;

    private NoticeFixture gateway = NoticeFixture.withAttempts(3, 10);

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static StandInBackend.Answer turnedAway(long pauseMillis) {
        return StandInBackend.Answer.of(
                503,
                Map.of(
                        StandInBackend.NOT_RUN,
                        "1",
                        StandInBackend.PAUSE_MILLIS,
                        Long.toString(pauseMillis)));
    }

    private NoticeFixture.Result askForPause(long pauseMillis) {
        gateway.startBackends(PAUSING);
        gateway.backend(PAUSING).answerNext(turnedAway(pauseMillis));
        final NoticeFixture.Result refused = gateway.request();
        assertEquals(1, gateway.backend(PAUSING).requests());
        return refused;
    }

    private void startBoth() {
        gateway.startBackends(PAUSING);
        gateway.startDistantBackends(OTHER);
    }

    private void assertServedBy(String backend) {
        final int before = gateway.backend(backend).requests();
        assertEquals(200, gateway.request().status());
        assertEquals(before + 1, gateway.backend(backend).requests());
    }

    private static long retryAfterMillis(NoticeFixture.Result refused) {
        return refused.refusal().orElseThrow().retryAfter().orElseThrow().toMillis();
    }

    @Nested
    class Requests {
        @Test
        void goElsewhereDuringThePause() {
            askForPause(PAUSE_MILLIS);
            gateway.startDistantBackends(OTHER);

            for (int number = 0; number < 5; number++) {
                assertServedBy(OTHER);
            }
            assertEquals(List.of("paused " + PAUSING + ' ' + PAUSE_MILLIS), gateway.notices());
        }

        @Test
        void thatWereTurnedAwayGoElsewhereAtOnce() {
            startBoth();
            gateway.backend(PAUSING).answerNext(turnedAway(PAUSE_MILLIS));

            assertServedBy(OTHER);
            assertEquals(1, gateway.backend(PAUSING).requests());
        }

        @Test
        void thatWereTurnedAwayDoNotWaitThereForTheirAdapter() {
            startBoth();
            gateway.updateWithoutAdapter(PAUSING, OTHER);
            gateway.grant(PAUSING, 0);
            gateway.grant(OTHER, 0);
            gateway.backend(PAUSING).answerNext(turnedAway(PAUSE_MILLIS));

            assertServedBy(OTHER);
            assertEquals(1, gateway.backend(PAUSING).requests());
        }

        @Test
        void goElsewhereAfterFailureWithPause() {
            gateway.startBackends(PAUSING);
            gateway.backend(PAUSING)
                    .answerNext(
                            StandInBackend.Answer.of(
                                    503, Map.of(StandInBackend.PAUSE_MILLIS, "60000")));
            gateway.request();
            gateway.startDistantBackends(OTHER);

            assertServedBy(OTHER);
        }

        @Test
        void thatWaitForAdapterAreNotSent() {
            startBoth();
            gateway.updateWithoutAdapter(PAUSING, OTHER);
            gateway.grant(PAUSING, LOAD_MILLIS);
            gateway.grant(OTHER, LOAD_MILLIS);

            final NoticeFixture.PendingResult pending =
                    gateway.start(() -> gateway.pause(PAUSING, PAUSE_MILLIS));

            assertEquals(200, pending.await().status());
            assertEquals(0, gateway.backend(PAUSING).requests());
            assertEquals(List.of(PAUSING), gateway.adapterRequests().get(1).excludedBackends());
        }

        @Test
        void whoseConnectionIsUnderWayAreSentElsewhereWithoutRetry() {
            gateway.close();
            gateway = NoticeFixture.withAttempts(1, 0);
            startBoth();

            final NoticeFixture.PendingResult pending =
                    gateway.start(() -> gateway.pause(PAUSING, PAUSE_MILLIS));

            assertEquals(200, pending.await().status());
            assertEquals(0, gateway.backend(PAUSING).requests());
            assertEquals(1, gateway.backend(OTHER).requests());
        }

        @Test
        void areNotSentWhereTheLeaderGrantsTheAdapter() {
            startBoth();
            gateway.updateWithoutAdapter(PAUSING, OTHER);
            final CompletableFuture<AdapterGrant> grant = new CompletableFuture<>();
            gateway.grantLater(grant);
            final NoticeFixture.PendingResult pending =
                    gateway.start(
                            () -> {
                                gateway.pause(PAUSING, PAUSE_MILLIS);
                                grant.complete(new AdapterGrant(PAUSING, 0, 1));
                            });

            assertEquals(503, pending.await().status());
            assertEquals(0, gateway.backend(PAUSING).requests());
        }

        @Test
        void thatResumeStreamsGoElsewhere() {
            final CompletableFuture<Void> release = new CompletableFuture<>();
            gateway.startBackends("breaking");
            gateway.backend("breaking")
                    .answerNext(StandInBackend.Answer.broken().releasedBy(release));
            final NoticeFixture.PendingResult pending = gateway.start(() -> {});
            gateway.backend("breaking").awaitRequests(1);
            startBoth();
            gateway.runOnLoop(() -> gateway.pause(PAUSING, PAUSE_MILLIS));
            release.complete(null);

            assertTrue(pending.await().complete());
            assertEquals(0, gateway.backend(PAUSING).requests());
            assertEquals(1, gateway.backend(OTHER).requests());
        }
    }

    @Nested
    class Ends {
        @Test
        void letTheNextRequestThrough() {
            askForPause(SHORT_PAUSE_MILLIS);
            gateway.startDistantBackends(OTHER);
            final long answeredNanos = System.nanoTime();
            while (gateway.backend(PAUSING).requests() == 1) {
                assertEquals(200, gateway.request().status());
            }

            final long pauseMillis =
                    TimeUnit.NANOSECONDS.toMillis(
                            gateway.backend(PAUSING).arrivalNanos().get(1) - answeredNanos);
            assertTrue(pauseMillis < 2 * SHORT_PAUSE_MILLIS, pauseMillis + " ms");
        }

        @Test
        void findNoFailureCounted() {
            askForPause(PAUSE_MILLIS);

            assertEquals(0, gateway.failuresAt(PAUSING));
        }

        @Test
        void comeWithTheFirstRecordOfLaterStartOnly() {
            gateway.startBackends(PAUSING);
            gateway.runOnLoop(() -> gateway.pause(PAUSING, PAUSE_MILLIS, FIRST_RECORD_MILLIS));
            gateway.update(1, PAUSING);
            assertEquals(503, gateway.request().status());
            gateway.update(2, PAUSING);

            assertServedBy(PAUSING);
        }

        @Test
        void doNotComeWithStartThatMayHaveAskedForThePause() {
            askForPause(PAUSE_MILLIS);
            gateway.update(2, PAUSING);

            assertEquals(503, gateway.request().status());
        }
    }

    @Nested
    class Refusals {
        private void assertRefusedUntil(
                NoticeFixture.Result refused, long earliestEndNanos, long longestMillis) {
            final long remainingMillis =
                    Duration.ofNanos(earliestEndNanos - System.nanoTime()).toMillis();

            assertEquals(503, refused.status());
            assertEquals(Execution.NOT_RUN, refused.refusal().orElseThrow().execution());
            assertTrue(retryAfterMillis(refused) >= remainingMillis);
            assertTrue(retryAfterMillis(refused) <= longestMillis);
        }

        private long endNanos(long pauseMillis) {
            return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        }

        @Test
        void ofTheRequestThatWasTurnedAwaySayWhenThePauseEnds() {
            final long endNanos = endNanos(PAUSE_MILLIS);

            assertRefusedUntil(askForPause(PAUSE_MILLIS), endNanos, PAUSE_MILLIS);
        }

        @Test
        void whereAllPauseSayWhenTheFirstPauseEnds() {
            askForPause(PAUSE_MILLIS);
            gateway.startBackends(OTHER);
            gateway.backend(OTHER).answerNext(turnedAway(PAUSE_MILLIS / 2));
            final long endNanos = endNanos(PAUSE_MILLIS / 2);
            gateway.request();

            assertRefusedUntil(gateway.request(), endNanos, PAUSE_MILLIS / 2);
            assertEquals(1, gateway.backend(PAUSING).requests());
            assertEquals(1, gateway.backend(OTHER).requests());
        }

        @Test
        void whereTheOthersLeaveSayWhenThePauseEnds() {
            askForPause(PAUSE_MILLIS);
            gateway.startBackends(OTHER);
            gateway.runOnLoop(() -> gateway.leave(OTHER));

            assertTrue(retryAfterMillis(gateway.request()) > PAUSE_MILLIS / 2);
        }
    }
}
