package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TraitTrialTest {
    private static final String GATEWAY = "gateway-1";
    private static final String OTHER_GATEWAY = "gateway-2";
    private static final List<String> GATEWAYS = List.of(GATEWAY, OTHER_GATEWAY);
    private static final String MODEL = "base";
    private static final long GUILTY = 66;
    private static final long BESIDE = 77;
    private static final long REQUEST = Trait.ofRequest(1);
    private static final long OTHER_REQUEST = Trait.ofRequest(2);
    private static final long VICTIM = Trait.ofRequest(3);
    private static final long SETTLING_MILLIS = 30;

    private final TraitTrial trial = new TraitTrial("leader");
    private List<TraitVerdict> verdicts = List.of();
    private long nowMillis = 1_000;
    private long requests;
    private int backends;

    private static BackendStart start(int number) {
        return new BackendStart("backend-" + number, 1, "10.0.0." + number + ":80");
    }

    /** Returns an announcement of a later start at the address. */
    private static BackendAnnouncement laterStart(int number) {
        return announcement("next-" + number, number, 2);
    }

    /** Returns a heartbeat of the start itself. */
    private static BackendAnnouncement heartbeat(int number) {
        return announcement("backend-" + number, number, 1);
    }

    private static BackendAnnouncement announcement(String backend, int number, long started) {
        return new BackendAnnouncement(
                backend,
                "service",
                "10.0.0." + number,
                80,
                "a",
                BackendState.READY,
                4,
                started,
                1,
                false,
                List.of(),
                "",
                0);
    }

    private TraitReport broken(BackendStart start, long request, String model, Long... traits) {
        return new TraitReport(
                List.of(new BrokenStart(start, request, model, Arrays.asList(traits), 0)),
                List.of(),
                trial.revision(),
                List.of(),
                List.of(),
                List.of());
    }

    private TraitReport ended(BackendStart start) {
        return new TraitReport(
                List.of(), List.of(start), trial.revision(), List.of(), List.of(), List.of());
    }

    private TraitReport wentOn(String model, long trait) {
        return new TraitReport(
                List.of(),
                List.of(),
                trial.revision(),
                List.of(new ModelTrait(model, trait)),
                List.of(),
                List.of());
    }

    private void report(String gateway, TraitReport report) {
        trial.report(gateway, report, TimeUnit.MILLISECONDS.toNanos(nowMillis));
        weigh();
    }

    private void weigh() {
        final VerdictChange change =
                trial.weigh(
                        verdicts, GATEWAYS, TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis);
        final List<TraitVerdict> next = new ArrayList<>(verdicts);
        next.removeIf(verdict -> change.removed().contains(verdict.traits()));
        for (final TraitVerdict put : change.put()) {
            next.removeIf(verdict -> verdict.traits().equals(put.traits()));
            next.add(put);
        }
        verdicts = next;
    }

    /** Lets a backend server end under a request, as one gateway sees it. */
    private void crash(Long... traits) {
        crashAt(MODEL, traits);
    }

    private void crashAt(String model, Long... traits) {
        crashUnder(++requests, model, traits);
    }

    private void crashUnder(long request, String model, Long... traits) {
        final BackendStart start = start(++backends);
        report(GATEWAY, broken(start, request, model, traits));
        report(GATEWAY, ended(start));
        answer();
        nowMillis += 500;
    }

    /** Lets a backend server end under a try 80 ms after the last, with nothing told meanwhile. */
    private void crashInTurn(long request, Long trait) {
        final BackendStart start = start(++backends);
        nowMillis += 80;
        report(GATEWAY, broken(start, request, MODEL, trait));
        report(GATEWAY, ended(start));
    }

    /** Lets both gateways report twice, so that what was asked last is answered. */
    private void settle() {
        answer();
        answer();
    }

    /** Lets both gateways compare the suspects with their memories, and tell what they know. */
    private void answer() {
        nowMillis += SETTLING_MILLIS;
        for (final String gateway : GATEWAYS) {
            report(gateway, witness(trial.doubted(), List.of()));
        }
    }

    /** Returns a report of what a gateway found at addresses. */
    private TraitReport witness(List<BackendStart> refused, List<BackendStart> reached) {
        return new TraitReport(List.of(), refused, trial.revision(), List.of(), List.of(), reached);
    }

    private List<List<Long>> condemned() {
        return verdicts.stream().map(TraitVerdict::traits).toList();
    }

    @Nested
    class Condemning {
        @Test
        void traitInThreeCrashesOnWhichNoAnswerWentOnIsCondemned() {
            crash(GUILTY);
            crash(GUILTY);
            assertEquals(List.of(), condemned());

            crash(GUILTY);

            assertEquals(List.of(List.of(GUILTY)), condemned());
            assertEquals(3, verdicts.get(0).crashes());
            assertEquals("leader", verdicts.get(0).decidedBy());
        }

        @Test
        void wholeRequestInThreeCrashesUnderThreeTriesIsCondemnedAlone() {
            crash(REQUEST, GUILTY);
            crash(REQUEST, GUILTY);
            assertEquals(List.of(), condemned());

            crash(REQUEST, GUILTY);

            assertEquals(List.of(List.of(REQUEST)), condemned());
        }

        @Test
        void requestThatEndsOneBackendServerIn90SecondsIsCondemned() {
            for (int number = 0; number < 3; number++) {
                crash(REQUEST);
                nowMillis += 90_000;
            }

            assertEquals(List.of(List.of(REQUEST)), condemned());
        }

        /** Guards against crashes that one try meets in 0.1 s and that count as one. */
        @Test
        void crashesThatOneTryMeetsOneAfterTheOtherCountEach() {
            crashInTurn(1, REQUEST);
            crashInTurn(1, REQUEST);
            crashInTurn(2, REQUEST);
            crashInTurn(3, REQUEST);
            settle();

            assertEquals(List.of(List.of(REQUEST)), condemned());
        }

        /** Guards against a victim whose gateway reports before that of the guilty request. */
        @Test
        void victimIsNotCondemnedBeforeAllGatewaysHaveReportedTheCrash() {
            for (int number = 1; number <= 3; number++) {
                final BackendStart start = start(++backends);
                nowMillis += 500;
                report(GATEWAY, broken(start, number, MODEL, VICTIM));
                report(GATEWAY, ended(start));
                report(OTHER_GATEWAY, broken(start, 10 + number, MODEL, REQUEST));
                if (number < 3) {
                    answer();
                }
            }
            assertEquals(List.of(), condemned());

            crash(REQUEST);

            assertEquals(List.of(List.of(REQUEST)), condemned());
        }

        /** Guards against a gateway that is cut off and swears that all backend servers crashed. */
        @Test
        void endsThatOneGatewaySeesWhereAnotherReachesTheAddressAreNone() {
            for (int number = 1; number <= 5; number++) {
                final BackendStart start = start(number);
                report(GATEWAY, broken(start, number, MODEL, REQUEST));
                report(GATEWAY, ended(start));
                nowMillis += SETTLING_MILLIS;
                report(OTHER_GATEWAY, witness(List.of(), trial.doubted()));
                report(GATEWAY, witness(List.of(), List.of()));
                nowMillis += 700;
                weigh();
            }

            assertEquals(List.of(), condemned());
        }

        /** Guards against gateways that try the address of an end again and again. */
        @Test
        void endThatAllGatewaysHaveLookedIntoIsDoubtedNoMore() {
            crash(REQUEST);
            crash(REQUEST);
            answer();

            assertEquals(List.of(), trial.doubted());
        }

        @Test
        void endIsNoneWhileHeartbeatsOfTheStartGoOn() {
            for (int number = 1; number <= 3; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, REQUEST));
                report(GATEWAY, ended(start(number)));
                nowMillis += 500;
                trial.announced(heartbeat(number), TimeUnit.MILLISECONDS.toNanos(nowMillis));
                answer();
            }

            assertEquals(List.of(), condemned());
        }

        @Test
        void partBehindCondemnedRequestIsCondemnedOnceOtherRequestsHaveIt() {
            crash(REQUEST, GUILTY);
            crash(REQUEST, GUILTY);
            crash(REQUEST, GUILTY);
            assertEquals(List.of(List.of(REQUEST)), condemned());

            crash(OTHER_REQUEST, GUILTY);

            assertTrue(condemned().contains(List.of(GUILTY)));
        }

        @Test
        void connectionsThatEndAreNoCrash() {
            for (int number = 0; number < 10; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                answer();
                nowMillis += 500;
            }

            assertEquals(List.of(), condemned());
            assertEquals(List.of(), trial.suspects());
        }

        @Test
        void laterStartAtTheAddressShowsThatTheEarlierOneEnded() {
            for (int number = 1; number <= 3; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                trial.announced(laterStart(number), TimeUnit.MILLISECONDS.toNanos(nowMillis));
                answer();
                nowMillis += 500;
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void evidenceOfSeveralGatewaysIsJoinedByStart() {
            for (int number = 1; number <= 3; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                report(OTHER_GATEWAY, ended(start(number)));
                answer();
                nowMillis += 500;
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        /** Guards against a verdict on a popular trait after the loss of a failure domain. */
        @Test
        void crashesOfOneMomentCountOnce() {
            for (int number = 1; number <= 12; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                report(GATEWAY, ended(start(number)));
                nowMillis += 5;
            }
            answer();

            assertEquals(List.of(), condemned());
            assertEquals(List.of(new TraitSuspect(GUILTY, 1)), trial.suspects());
        }

        /** Guards against a verdict on the traits of a sound request that met three crashes. */
        @Test
        void repeatsOfOneRequestAreNotEnough() {
            for (int number = 0; number < 4; number++) {
                crashUnder(1, MODEL, GUILTY);
            }

            assertEquals(List.of(), condemned());
        }

        @Test
        void gatewayThatHasNotAnsweredIsWaitedForBriefly() {
            for (int number = 1; number <= 3; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                report(GATEWAY, ended(start(number)));
                nowMillis += 101;
            }
            assertEquals(List.of(), condemned());

            nowMillis += 600;
            weigh();

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }
    }

    @Nested
    class TellingPartsApart {
        @Test
        void traitOnWhichAnswersGoOnIsNotCondemned() {
            for (int number = 0; number < 10; number++) {
                report(OTHER_GATEWAY, wentOn(MODEL, BESIDE));
                crash(BESIDE, GUILTY);
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void traitsThatWereAlwaysTogetherAreCondemnedTogether() {
            crash(BESIDE, GUILTY);
            crash(BESIDE, GUILTY);
            crash(BESIDE, GUILTY);

            assertEquals(List.of(List.of(GUILTY, BESIDE)), condemned());
            assertTrue(verdicts.get(0).condemns(MODEL, List.of(1L, BESIDE, GUILTY)));
            assertTrue(!verdicts.get(0).condemns(MODEL, List.of(BESIDE)));
        }

        @Test
        void laterCrashNarrowsTheVerdict() {
            traitsThatWereAlwaysTogetherAreCondemnedTogether();

            crash(GUILTY);

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void soundTraitOfTheVerdictIsTakenOut() {
            traitsThatWereAlwaysTogetherAreCondemnedTogether();

            report(OTHER_GATEWAY, wentOn(MODEL, BESIDE));

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        /** Guards against verdicts on the traits of requests that ran beside a guilty one. */
        @Test
        void crashThatVerdictExplainsCountsForNoOtherTrait() {
            crash(GUILTY);
            crash(GUILTY);
            crash(GUILTY);
            for (int number = 0; number < 5; number++) {
                final BackendStart start = start(++backends);
                report(GATEWAY, broken(start, ++requests, MODEL, GUILTY));
                report(OTHER_GATEWAY, broken(start, ++requests, MODEL, BESIDE));
                report(GATEWAY, ended(start));
                answer();
                nowMillis += 500;
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void twoGuiltyPartsAreBothCondemned() {
            for (int number = 0; number < 4; number++) {
                crash(GUILTY);
                crash(BESIDE);
            }

            assertEquals(2, condemned().size());
        }

        @Test
        void modelAtWhichAnswersGoOnIsSpared() {
            report(OTHER_GATEWAY, wentOn("other", GUILTY));
            crash(GUILTY);
            report(OTHER_GATEWAY, wentOn("other", GUILTY));
            crash(GUILTY);
            report(OTHER_GATEWAY, wentOn("other", GUILTY));
            crash(GUILTY);

            assertTrue(verdicts.get(0).condemns(MODEL, List.of(GUILTY)));
            assertTrue(verdicts.get(0).condemns("third", List.of(GUILTY)));
            assertTrue(!verdicts.get(0).condemns("other", List.of(GUILTY)));
        }
    }

    @Nested
    class Ending {
        @Test
        void answerThatGoesOnEndsTheVerdict() {
            crash(GUILTY);
            crash(GUILTY);
            crash(GUILTY);

            report(OTHER_GATEWAY, wentOn(MODEL, GUILTY));

            assertEquals(List.of(), condemned());
        }

        @Test
        void numberOfVerdictsIsBounded() {
            for (long trait = 0; trait < TraitTrial.MAXIMUM_VERDICTS + 10; trait++) {
                crash(trait);
                crash(trait);
                crash(trait);
            }

            assertEquals(TraitTrial.MAXIMUM_VERDICTS, condemned().size());
            assertTrue(condemned().contains(List.of(TraitTrial.MAXIMUM_VERDICTS + 9L)));
        }
    }
}
