package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.BrokenStart;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.ModelTrait;
import org.crocushaven.fleet.Trait;
import org.crocushaven.fleet.TraitSuspect;
import org.crocushaven.fleet.TraitUpdate;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.PromptPart;
import org.crocushaven.outbound.ConnectionTry;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CrashGuardTest {
    private static final BackendRecord BACKEND =
            BackendRecordBuilder.of("b", "engines").running("v1").startedAt(7).build();
    private static final TraitVerdict VERDICT =
            new TraitVerdict(List.of(66L), List.of("base"), List.of("spared"), 3, "leader", 1, 0);

    private final List<BackendStart> checked = new ArrayList<>();
    private int reportsSoon;
    private int bodies;
    private ConnectionTry.Finding finding = ConnectionTry.Finding.REFUSED;
    private long nowNanos;
    private final CrashGuard guard =
            new CrashGuard(
                    () -> nowNanos,
                    (start, then) -> {
                        checked.add(start);
                        then.accept(finding);
                    },
                    () -> reportsSoon++);

    private RequestGuard request(long... parts) {
        return requestAt("base", parts);
    }

    private RequestGuard requestAt(String model, long... parts) {
        return requestWithBody(model, "body " + bodies++, parts);
    }

    private RequestGuard requestWithBody(String model, String body, long... parts) {
        final IngressRequest request =
                ChatRequestBuilder.of(model, "adapter")
                        .promptParts(
                                Arrays.stream(parts)
                                        .mapToObj(part -> new PromptPart(part, 1))
                                        .toList())
                        .build();
        final RequestGuard created = guard.of(request);
        created.identify(traits(request, body));
        return created;
    }

    private static RequestTraits traits(IngressRequest request, String body) {
        return RequestTraits.of(request, "first", body.getBytes(StandardCharsets.UTF_8));
    }

    private static List<Long> partsOf(BrokenStart broken) {
        return broken.traits().stream().filter(trait -> !Trait.isRequest(trait)).toList();
    }

    private void update(long epoch, TraitUpdate traits) {
        final GatewayUpdate update =
                GatewayUpdateBuilder.ofTerm(epoch).state(1, true).traits(traits).build();
        guard.apply(update, true, nowNanos);
    }

    private void condemn(TraitVerdict... probes) {
        update(1, new TraitUpdate(1, List.of(), List.of(VERDICT), List.of(probes), List.of()));
    }

    private List<BrokenStart> reported() {
        return guard.report(nowNanos).broken();
    }

    @Nested
    class Evidence {
        @Test
        void brokenRequestIsReportedWithoutItsLastPartAndItsSoundOnes() {
            request(1, 2, 99).recordEvents(2);

            request(1, 66, 100).recordConnectionEnded(BACKEND, 1);

            assertEquals(List.of(66L), partsOf(reported().get(0)));
            assertEquals(List.of(BackendStart.of(BACKEND)), checked);
            assertEquals(List.of(BackendStart.of(BACKEND)), guard.report(nowNanos).ended());
            assertTrue(reportsSoon > 0);
        }

        @Test
        void brokenRequestWithoutPartsIsReportedAsWhole() {
            request().recordConnectionEnded(BACKEND, 0);

            assertEquals(1, reported().get(0).traits().size());
            assertTrue(Trait.isRequest(reported().get(0).traits().get(0)));
        }

        @Test
        void brokenRequestOfWhichAnotherTryWentOnIsNotReported() {
            requestWithBody("base", "popular").recordWentOn();

            requestWithBody("base", "popular").recordConnectionEnded(BACKEND, 0);

            assertEquals(List.of(), reported());
        }

        /** Guards against requests that push the parts they share out of the gateway's memory. */
        @Test
        void partsStaySoundBesideVeryManyRequests() {
            request(66, 99).recordEvents(2);
            for (int number = 0; number < 40_000; number++) {
                request().recordWentOn();
            }

            request(66, 98).recordConnectionEnded(BACKEND, 0);

            assertEquals(List.of(), partsOf(reported().get(0)));
        }

        @Test
        void requestWhoseAnswerHadGoneOnIsNotReported() {
            request(1, 66, 100).recordConnectionEnded(BACKEND, 2);

            assertEquals(List.of(), reported());
        }

        @Test
        void endIsLookedIntoOnceForEachStart() {
            request(1, 66, 100).recordConnectionEnded(BACKEND, 0);
            request(1, 66, 101).recordConnectionEnded(BACKEND, 0);

            assertEquals(1, checked.size());
        }

        @Test
        void doubtedEndIsLookedIntoAndToldOfWhenTheAddressIsReached() {
            final BackendStart doubted = BackendStart.of(BACKEND);
            finding = ConnectionTry.Finding.REACHED;

            update(1, new TraitUpdate(1, List.of(), List.of(), List.of(), List.of(doubted)));

            assertEquals(List.of(doubted), checked);
            assertEquals(List.of(), guard.report(nowNanos).ended());
            assertEquals(List.of(doubted), guard.report(nowNanos).reached());
            assertTrue(reportsSoon > 0);
        }

        @Test
        void addressThatDoesNotAnswerTellsNothing() {
            finding = ConnectionTry.Finding.UNANSWERED;

            request(1, 66, 100).recordConnectionEnded(BACKEND, 0);

            assertEquals(List.of(), guard.report(nowNanos).ended());
            assertEquals(List.of(), guard.report(nowNanos).reached());
        }

        @Test
        void newLeaderIsToldAgain() {
            update(1, TraitUpdate.EMPTY);
            request(1, 66, 100).recordConnectionEnded(BACKEND, 0);
            assertEquals(1, reported().size());
            update(1, TraitUpdate.EMPTY);
            assertEquals(0, reported().size());

            update(2, TraitUpdate.EMPTY);

            assertEquals(1, reported().size());
            assertEquals(1, guard.report(nowNanos).ended().size());
        }

        @Test
        void suspectOnWhichAnAnswerWentOnIsReportedAsSound() {
            request(66, 100).recordEvents(2);

            update(
                    1,
                    new TraitUpdate(
                            5,
                            List.of(new TraitSuspect(66, 1), new TraitSuspect(67, 1)),
                            List.of(),
                            List.of(),
                            List.of()));

            assertEquals(List.of(new ModelTrait("base", 66)), guard.report(nowNanos).wentOn());
            assertEquals(5, guard.report(nowNanos).suspectsRevision());
        }

        /** Guards against a caller that fills the gateway's memory with parts. */
        @Test
        void numberOfReportedPartsIsBounded() {
            for (int number = 0; number < 2_000; number++) {
                final long[] parts = new long[200];
                for (int part = 0; part < parts.length; part++) {
                    parts[part] = number * 1_000L + part;
                }
                request(parts).recordConnectionEnded(BACKEND, 0);
            }

            assertTrue(reported().size() <= 512);
            assertTrue(reported().stream().allMatch(broken -> broken.traits().size() <= 32));
        }
    }

    @Nested
    class Refusals {
        @Test
        void condemnedPromptIsRefused() {
            condemn();

            final ResultException refusal =
                    assertThrows(ResultException.class, () -> request(1, 66, 99).requireAllowed());

            assertEquals(ResultCode.REQUEST_CONDEMNED, refusal.code());
            assertEquals(List.of(List.of(66L)), guard.report(nowNanos).refused());
        }

        @Test
        void condemnedRequestIsRefusedWhereOthersOfItsCallerAreNot() {
            final RequestGuard guilty = requestWithBody("base", "guilty");
            guilty.recordConnectionEnded(BACKEND, 0);
            final TraitVerdict onRequest =
                    new TraitVerdict(
                            reported().get(0).traits(),
                            List.of("base"),
                            List.of(),
                            3,
                            "leader",
                            1,
                            0);
            update(1, new TraitUpdate(1, List.of(), List.of(onRequest), List.of(), List.of()));

            assertThrows(
                    ResultException.class,
                    () -> requestWithBody("base", "guilty").requireAllowed());
            requestWithBody("base", "other").requireAllowed();
        }

        @Test
        void requestInThreeCrashesIsHeldBackUnlessItWentOnHereOrIsGranted() {
            requestWithBody("base", "held").recordConnectionEnded(BACKEND, 0);
            final long whole = reported().get(0).traits().get(0);
            final TraitVerdict grant =
                    new TraitVerdict(List.of(whole), List.of(), List.of(), 3, "leader", 1, 1);
            final List<TraitSuspect> suspects = List.of(new TraitSuspect(whole, 3));
            update(1, new TraitUpdate(1, suspects, List.of(), List.of(), List.of()));
            assertThrows(
                    ResultException.class, () -> requestWithBody("base", "held").requireAllowed());
            assertEquals(List.of(List.of(whole)), guard.report(nowNanos).refused());

            update(1, new TraitUpdate(1, suspects, List.of(), List.of(grant), List.of()));
            final RequestGuard granted = requestWithBody("base", "held");
            granted.requireAllowed();
            assertThrows(
                    ResultException.class, () -> requestWithBody("base", "held").requireAllowed());

            granted.recordWentOn();
            requestWithBody("base", "held").requireAllowed();
        }

        @Test
        void lastPartAndSparedModelAreNotRefused() {
            condemn();

            request(1, 66).requireAllowed();
            requestAt("spared", 1, 66, 99).requireAllowed();
        }

        @Test
        void requestThatArrivedBeforeTheVerdictIsRefusedBeforeItsNextSend() {
            final RequestGuard waiting = request(1, 66, 99);
            waiting.requireAllowed();

            condemn();

            assertTrue(waiting.refusal().isPresent());
        }

        @Test
        void probeIsSentOnceAndNotRepeated() {
            condemn(VERDICT);

            final RequestGuard probe = request(1, 66, 99);
            probe.requireAllowed();

            assertTrue(probe.refusal().isEmpty());
            assertTrue(!probe.mayRepeat());
            assertThrows(ResultException.class, () -> request(1, 66, 98).requireAllowed());
        }

        @Test
        void suspectAfterTwoCrashesIsNotRepeatedUnlessItWentOnHere() {
            update(
                    1,
                    new TraitUpdate(
                            2,
                            List.of(new TraitSuspect(66, 2), new TraitSuspect(67, 1)),
                            List.of(),
                            List.of(),
                            List.of()));

            assertTrue(!request(1, 66, 99).mayRepeat());
            assertTrue(request(1, 67, 99).mayRepeat());
            request(66, 98).recordEvents(2);
            assertTrue(request(1, 66, 99).mayRepeat());
        }
    }
}
