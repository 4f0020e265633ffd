package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Serves prompts, some with parts that end backend servers, beside all usual disruptions. */
@Tag("fuzz")
class CrashGuardFuzzTest {
    private static final int CASES = 60;
    private static final long DAY_MILLIS = 25_000;
    private static final long STEP_MILLIS = 20;
    private static final long GUILTY_BEGIN_MILLIS = 4_000;
    private static final int ALLOWED_ARRIVALS = 3;

    /** Days with a domain or a seventh of the fleet lost every few seconds, for a false verdict. */
    private static final long DAYS_WITHOUT_FALSE_VERDICT = 20;

    private static final List<Long> GUILTY = List.of(66L, 67L);
    private static final List<Long> GUILTY_BODIES = List.of(-66L, -67L);

    /** Requests that callers send again and again, and which are sound. */
    private static final int POPULAR_REQUESTS = 12;

    private static final long FIRST_RARE_PART = 1_000;
    private static final int RARE_PARTS = 300;
    private static final int FLOODED_PARTS = 500;

    private final FaultCounts<CrashFault> counts = FaultCounts.of(CrashFault.class);
    private long nextPart = 100_000;
    private long days;
    private long requests;
    private long falseVerdicts;
    private long falseRefusals;

    @Test
    void atMostThreeGuiltyRequestsReachBackendServersAfterTheCountedCrash() {
        try {
            FuzzSettings.forEachCase("crash-guard", CASES, this::run);
        } finally {
            counts.print("crash-guard");
            System.out.println(
                    "crash-guard: "
                            + falseVerdicts
                            + " false verdicts and "
                            + falseRefusals
                            + " refused by them in "
                            + days
                            + " days, "
                            + requests
                            + " requests");
        }
        if (!FuzzSettings.isSingleCase()) {
            counts.assertAllOccurred();
            assertTrue(
                    falseVerdicts * DAYS_WITHOUT_FALSE_VERDICT <= days,
                    () -> falseVerdicts + " false verdicts in " + days + " days");
        }
    }

    private void run(long seed) {
        final int guiltyParts = (int) Math.floorMod(seed, 3L);
        final int guiltyBodies = (int) Math.floorMod(seed / 3, 3L);
        final CrashScenario day =
                new CrashScenario(
                        seed,
                        GUILTY.subList(0, guiltyParts),
                        GUILTY_BODIES.subList(0, guiltyBodies),
                        counts);
        if (guiltyParts > 1) {
            counts.count(CrashFault.TWO_GUILTY_PARTS);
        }
        for (long millis = 0; millis < DAY_MILLIS; millis += STEP_MILLIS) {
            day.time().runUntilMillis(millis);
            callers(day, guiltyParts);
            repeatingCallers(day, guiltyBodies);
            disrupt(day);
        }
        day.time().runUntilMillis(DAY_MILLIS);
        days++;
        requests += day.requests();
        falseVerdicts += day.falseVerdicts();
        falseRefusals += day.falseRefusals();
        assertTrue(
                day.lateArrivals() <= ALLOWED_ARRIVALS,
                () -> day.lateArrivals() + " guilty requests arrived too late");
    }

    private void callers(CrashScenario day, int guiltyParts) {
        final RandomGenerator random = day.random();
        day.request(List.of(FIRST_RARE_PART + random.nextInt(RARE_PARTS)));
        if (random.nextInt(4) == 0) {
            day.request(List.of(nextPart++));
        }
        if (day.time().millis() < GUILTY_BEGIN_MILLIS) {
            return;
        }
        for (final long part : GUILTY.subList(0, guiltyParts)) {
            if (random.nextInt(12) == 0) {
                day.request(
                        random.nextBoolean()
                                ? List.of(part)
                                : List.of(FIRST_RARE_PART + random.nextInt(RARE_PARTS), part));
            }
        }
    }

    /** Sends requests that are the same each time; a third of them are plain. */
    private void repeatingCallers(CrashScenario day, int guiltyBodies) {
        final RandomGenerator random = day.random();
        if (random.nextInt(2) == 0) {
            final int popular = random.nextInt(POPULAR_REQUESTS);
            day.repeatedRequest(-1_000L - popular, popular % 3 == 0);
        }
        if (day.time().millis() < GUILTY_BEGIN_MILLIS) {
            return;
        }
        for (final long body : GUILTY_BODIES.subList(0, guiltyBodies)) {
            if (random.nextInt(12) == 0) {
                counts.count(CrashFault.GUILTY_REQUEST_REPEATED);
                day.repeatedRequest(body, body == GUILTY_BODIES.get(0));
            }
        }
    }

    private void disrupt(CrashScenario day) {
        final RandomGenerator random = day.random();
        if (random.nextInt(60) == 0) {
            counts.count(CrashFault.USUAL_CRASH);
            day.crash(day.backends().get(random.nextInt(day.backends().size())));
        }
        if (random.nextInt(400) == 0) {
            counts.count(CrashFault.DOMAIN_CRASH);
            final String domain = "d" + random.nextInt(3);
            popularPart(day);
            day.backends().stream()
                    .filter(backend -> backend.failureDomain().equals(domain))
                    .forEach(day::crash);
        }
        if (random.nextInt(500) == 0) {
            counts.count(CrashFault.MASS_CRASH);
            new ArrayList<>(day.backends())
                    .stream().filter(backend -> random.nextInt(7) == 0).forEach(day::crash);
        }
        if (random.nextInt(1_000) == 0) {
            counts.count(CrashFault.WAVE_OF_CRASHES);
            wave(day);
        }
        if (random.nextInt(30) == 0 && day.cutOne(true)) {
            counts.count(CrashFault.CONNECTION_RESET);
            counts.count(CrashFault.RARE_PART_BROKEN);
        }
        if (random.nextInt(60) == 0 && day.cutOne(false)) {
            counts.count(CrashFault.ANSWER_GARBLED);
        }
        if (random.nextInt(300) == 0) {
            popularPart(day);
        }
        if (random.nextInt(400) == 0) {
            day.gateways().get(random.nextInt(day.gateways().size())).restart();
        }
        if (random.nextInt(300) == 0) {
            day.cutOff(
                    day.gateways().get(random.nextInt(day.gateways().size())),
                    200 + random.nextLong(4_000));
        }
        if (random.nextInt(700) == 0 && day.leader().isPresent()) {
            day.loseLeader();
        }
        if (random.nextInt(300) == 0) {
            flood(day);
        }
    }

    private void wave(CrashScenario day) {
        final long gapMillis = 20 + day.random().nextLong(400);
        long afterMillis = 0;
        for (final SimulatedBackend backend : day.backends()) {
            day.time().after(afterMillis, () -> day.crash(backend));
            afterMillis += gapMillis;
        }
    }

    private void popularPart(CrashScenario day) {
        counts.count(CrashFault.POPULAR_PART_BEGAN);
        final long part = nextPart++;
        for (int request = 0; request < 20; request++) {
            day.request(List.of(part));
        }
    }

    private void flood(CrashScenario day) {
        counts.count(CrashFault.PARTS_FLOODED);
        for (int request = 0; request < 5; request++) {
            day.request(
                    LongStream.range(0, FLOODED_PARTS).map(part -> nextPart++).boxed().toList());
        }
    }
}
