package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartTrialTest {
    private static final String GATEWAY = "gateway-1";
    private static final String OTHER_GATEWAY = "gateway-2";
    private static final List<String> GATEWAYS = List.of(GATEWAY, OTHER_GATEWAY);
    private static final String MODEL = "base";
    private static final long GUILTY = 66;
    private static final long BESIDE = 77;

    private final PartTrial trial = new PartTrial("leader");
    private List<PartVerdict> verdicts = List.of();
    private long nowMillis = 1_000;
    private long requests;
    private int backends;

    private static BackendStart start(int number) {
        return new BackendStart("backend-" + number, 1, "10.0.0." + number + ":80");
    }

    private PartReport broken(BackendStart start, long request, String model, Long... parts) {
        return new PartReport(
                List.of(new BrokenStart(start, request, model, Arrays.asList(parts), 0)),
                List.of(),
                trial.revision(),
                List.of(),
                List.of());
    }

    private PartReport ended(BackendStart start) {
        return new PartReport(List.of(), List.of(start), trial.revision(), List.of(), List.of());
    }

    private PartReport wentOn(String model, long part) {
        return new PartReport(
                List.of(),
                List.of(),
                trial.revision(),
                List.of(new ModelPart(model, part)),
                List.of());
    }

    private void report(String gateway, PartReport report) {
        trial.report(gateway, report, TimeUnit.MILLISECONDS.toNanos(nowMillis));
        weigh();
    }

    private void weigh() {
        final VerdictChange change =
                trial.weigh(
                        verdicts, GATEWAYS, TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis);
        final List<PartVerdict> next = new ArrayList<>(verdicts);
        next.removeIf(verdict -> change.removed().contains(verdict.parts()));
        for (final PartVerdict put : change.put()) {
            next.removeIf(verdict -> verdict.parts().equals(put.parts()));
            next.add(put);
        }
        verdicts = next;
    }

    /** Lets a backend server end under a request, as one gateway sees it. */
    private void crash(Long... parts) {
        crashAt(MODEL, parts);
    }

    private void crashAt(String model, Long... parts) {
        crashUnder(++requests, model, parts);
    }

    private void crashUnder(long request, String model, Long... parts) {
        final BackendStart start = start(++backends);
        report(GATEWAY, broken(start, request, model, parts));
        report(GATEWAY, ended(start));
        answer();
        nowMillis += 500;
    }

    /** Lets both gateways compare the suspects with their memories. */
    private void answer() {
        for (final String gateway : GATEWAYS) {
            report(
                    gateway,
                    new PartReport(List.of(), List.of(), trial.revision(), List.of(), List.of()));
        }
    }

    private List<List<Long>> condemned() {
        return verdicts.stream().map(PartVerdict::parts).toList();
    }

    @Nested
    class Condemning {
        @Test
        void partInThreeCrashesOnWhichNoAnswerWentOnIsCondemned() {
            crash(GUILTY);
            crash(GUILTY);
            assertEquals(List.of(), condemned());

            crash(GUILTY);

            assertEquals(List.of(List.of(GUILTY)), condemned());
            assertEquals(3, verdicts.get(0).crashes());
            assertEquals("leader", verdicts.get(0).decidedBy());
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
                trial.started(announcement(number), TimeUnit.MILLISECONDS.toNanos(nowMillis));
                answer();
                nowMillis += 500;
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        private BackendAnnouncement announcement(int number) {
            return new BackendAnnouncement(
                    "next-" + number,
                    "service",
                    "10.0.0." + number,
                    80,
                    "a",
                    BackendState.READY,
                    4,
                    2,
                    1,
                    false,
                    List.of(),
                    "");
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

        /** Guards against a verdict on a popular part after the loss of a failure domain. */
        @Test
        void crashesOfOneMomentCountOnce() {
            for (int number = 1; number <= 12; number++) {
                report(GATEWAY, broken(start(number), number, MODEL, GUILTY));
                report(GATEWAY, ended(start(number)));
                nowMillis += 5;
            }
            answer();

            assertEquals(List.of(), condemned());
            assertEquals(List.of(new PartSuspect(GUILTY, 1)), trial.suspects());
        }

        /** Guards against a verdict on the parts of a sound request that met three crashes. */
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
        void partOnWhichAnswersGoOnIsNotCondemned() {
            for (int number = 0; number < 10; number++) {
                report(OTHER_GATEWAY, wentOn(MODEL, BESIDE));
                crash(BESIDE, GUILTY);
            }

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void partsThatWereAlwaysTogetherAreCondemnedTogether() {
            crash(BESIDE, GUILTY);
            crash(BESIDE, GUILTY);
            crash(BESIDE, GUILTY);

            assertEquals(List.of(List.of(GUILTY, BESIDE)), condemned());
            assertTrue(verdicts.get(0).condemns(MODEL, List.of(1L, BESIDE, GUILTY)));
            assertTrue(!verdicts.get(0).condemns(MODEL, List.of(BESIDE)));
        }

        @Test
        void laterCrashNarrowsTheVerdict() {
            partsThatWereAlwaysTogetherAreCondemnedTogether();

            crash(GUILTY);

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        @Test
        void soundPartOfTheVerdictIsTakenOut() {
            partsThatWereAlwaysTogetherAreCondemnedTogether();

            report(OTHER_GATEWAY, wentOn(MODEL, BESIDE));

            assertEquals(List.of(List.of(GUILTY)), condemned());
        }

        /** Guards against verdicts on the parts of requests that ran beside a guilty one. */
        @Test
        void crashThatVerdictExplainsCountsForNoOtherPart() {
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
            for (long part = 0; part < PartTrial.MAXIMUM_VERDICTS + 10; part++) {
                crash(part);
                crash(part);
                crash(part);
            }

            assertEquals(PartTrial.MAXIMUM_VERDICTS, condemned().size());
            assertTrue(condemned().contains(List.of(PartTrial.MAXIMUM_VERDICTS + 9L)));
        }
    }
}
