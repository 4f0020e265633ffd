package org.crocushaven.bench.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.crocushaven.bench.demo.Balancer;
import org.crocushaven.bench.load.CallOutcome;
import org.crocushaven.bench.load.CallRecord;
import org.crocushaven.bench.load.CallerKey;
import org.crocushaven.bench.load.LoadReport;
import org.crocushaven.bench.load.LoadRun;
import org.crocushaven.bench.load.Verdict;
import org.crocushaven.bench.process.InstanceFleet;
import org.crocushaven.bench.process.OperatorClient;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Loses, freezes and stops instances that don't vote; three voters and one other. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
@Tag("process")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class InstanceFailureTest {
    private static final int INSTANCES = 4;
    private static final int OTHER = 3;
    private static final int KEY_WITHDRAWN_DURING_REQUEST = 1107;
    private static final int CHANGE_NUMBER_REUSED = 2003;
    private static final double WITHDRAWAL_BOUND_MILLIS = 3_000;
    private static final String MODEL = "plot-summary@3";

    @TempDir private static Path folder;
    private FailureFixture fixture;

    @BeforeAll
    void startFleet() throws Exception {
        fixture = FailureFixture.start(folder, INSTANCES);
    }

    @AfterAll
    void stopFleet() {
        if (fixture != null) {
            fixture.close();
        }
    }

    /** Sends traffic through a balancer, and does something to the instances meanwhile. */
    private LoadReport trafficBeside(Duration duration, long seed, Disturbance disturbance)
            throws Exception {
        final LoadRun run = fixture.traffic(duration, seed);
        try (Balancer balancer = Balancer.start(fixture.instances(), run)) {
            final CompletableFuture<LoadReport> traffic = FailureFixture.begin(run);
            disturbance.disturb(run);
            return traffic.join();
        }
    }

    private static void assertEach(LoadReport report, Predicate<CallRecord> isExpected) {
        assertEquals(List.of(), FailureFixture.unexpected(report, isExpected));
    }

    /** Does something to the instances while traffic runs. */
    @FunctionalInterface
    private interface Disturbance {
        void disturb(LoadRun run) throws Exception;
    }

    @Nested
    class Loss {
        @Test
        void ofAnInstanceIsSeenOnlyByItsOwnCallers() throws Exception {
            final InstanceFleet instances = fixture.instances();
            final LoadReport report =
                    trafficBeside(
                            Duration.ofSeconds(6),
                            11,
                            run -> {
                                Thread.sleep(2_000);
                                instances.process(OTHER).kill();
                            });
            fixture.assertSound(report);
            assertEach(
                    report,
                    record ->
                            record.instance() == OTHER
                                    || record.verdict() == Verdict.WHOLE
                                    || record.verdict() == Verdict.REFUSED);
            assertTrue(report.count(Verdict.WHOLE) > 200, "whole answers");
            instances.start(OTHER);
            fixture.awaitServing(OTHER);
        }
    }

    @Nested
    class Freeze {
        @Test
        void neverLetsWithdrawnKeysThroughAfterwards() throws Exception {
            final CallerKey withdrawn = new CallerKey("szczapa", "key-withdrawn-in-freeze");
            fixture.grant(withdrawn);
            final CallOutcome before = fixture.status(OTHER, withdrawn).join();
            fixture.instances().process(OTHER).freeze();
            fixture.fleet().withdraw(withdrawn.key());
            Thread.sleep(4_000);
            final List<CompletableFuture<CallOutcome>> queued = new ArrayList<>();
            for (int call = 0; call < 20; call++) {
                queued.add(fixture.status(OTHER, withdrawn));
            }
            fixture.instances().process(OTHER).resume();
            for (int call = 0; call < 200; call++) {
                queued.add(fixture.status(OTHER, withdrawn));
            }
            final long served =
                    queued.stream()
                            .map(CompletableFuture::join)
                            .filter(CallOutcome::answered)
                            .count();
            assertTrue(before.answered(), before.toString());
            assertEquals(0, served, "calls served with a withdrawn key");
            fixture.awaitServing(OTHER);
        }

        @Test
        void keepsTheOthersServing() throws Exception {
            final InstanceFleet instances = fixture.instances();
            final LoadReport report =
                    trafficBeside(
                            Duration.ofSeconds(7),
                            12,
                            run -> {
                                Thread.sleep(1_000);
                                instances.process(OTHER).freeze();
                                Thread.sleep(4_000);
                                instances.process(OTHER).resume();
                            });
            fixture.assertSound(report);
            assertEach(
                    report,
                    record ->
                            record.instance() == OTHER
                                    || record.verdict() == Verdict.WHOLE
                                    || record.verdict() == Verdict.REFUSED
                                    || record.verdict() == Verdict.FAILED);
            fixture.awaitServing(OTHER);
        }
    }

    @Nested
    class GracefulStop {
        @Test
        void cutsNothing() throws Exception {
            final InstanceFleet instances = fixture.instances();
            final List<CompletableFuture<CallOutcome>> streams = new ArrayList<>();
            final LoadReport report =
                    trafficBeside(
                            Duration.ofSeconds(6),
                            13,
                            run -> {
                                Thread.sleep(1_500);
                                for (int stream = 0; stream < 8; stream++) {
                                    streams.add(
                                            fixture.chat(OTHER, fixture.key(), MODEL, 200, true));
                                }
                                Thread.sleep(300);
                                run.avoid(OTHER);
                                instances.process(OTHER).terminate();
                            });
            for (final CompletableFuture<CallOutcome> stream : streams) {
                assertTrue(stream.join().answered(), stream.join().toString());
            }
            fixture.assertSound(report);
            assertEach(
                    report,
                    record ->
                            record.verdict() == Verdict.WHOLE
                                    || record.verdict() == Verdict.REFUSED
                                    || record.verdict() == Verdict.UNREACHABLE
                                            && record.instance() == OTHER);
            assertTrue(instances.process(OTHER).awaitExit(Duration.ofSeconds(10)));
            instances.start(OTHER);
            fixture.awaitServing(OTHER);
        }
    }

    @Nested
    class Withdrawal {
        @Test
        void endsOpenStreams() throws Exception {
            final CallerKey withdrawn = new CallerKey("szczapa", "key-of-an-open-stream");
            fixture.grant(withdrawn);
            final CompletableFuture<CallOutcome> stream =
                    fixture.chat(OTHER, withdrawn, MODEL, 2_000, true);
            Thread.sleep(1_000);
            assertFalse(stream.isDone(), () -> "the stream has ended: " + stream.join());
            fixture.fleet().withdraw(withdrawn.key());
            final long withdrawnAtNanos = System.nanoTime();
            final CallOutcome outcome = stream.join();
            final double millis = (System.nanoTime() - withdrawnAtNanos) / 1e6;
            assertEquals(KEY_WITHDRAWN_DURING_REQUEST, outcome.code(), outcome.toString());
            assertTrue(millis < WITHDRAWAL_BOUND_MILLIS, millis + " ms");
        }
    }

    @Nested
    class RacingOperators {
        @Test
        void withEqualNumbersGetOneChangeThrough() throws Exception {
            final OperatorClient operator = fixture.fleet().operator();
            for (int round = 1; round <= 5; round++) {
                final long number = round;
                final List<GrantKey> changes = new ArrayList<>();
                final List<CompletableFuture<OperatorClient.Answer>> answers = new ArrayList<>();
                for (int racer = 0; racer < 2; racer++) {
                    final GrantKey change =
                            new GrantKey(
                                    KeyHash.ofKey("raced-key-" + round + "-" + racer),
                                    "szczapa",
                                    "racer " + racer);
                    changes.add(change);
                    answers.add(submit(operator, racer, number, change));
                }
                final long accepted =
                        answers.stream()
                                .map(CompletableFuture::join)
                                .filter(OperatorClient.Answer::accepted)
                                .count();
                assertEquals(1, accepted, "accepted changes");
                for (int racer = 0; racer < 2; racer++) {
                    final OperatorClient.Answer first = answers.get(racer).join();
                    if (!first.accepted()) {
                        assertEquals(CHANGE_NUMBER_REUSED, first.code(), first.toString());
                    }
                    final OperatorClient.Answer again =
                            submit(operator, OTHER - racer, number, changes.get(racer)).join();
                    assertEquals(first.accepted(), again.accepted(), again.toString());
                    assertEquals(
                            first.document().path("revision"), again.document().path("revision"));
                }
            }
        }

        private CompletableFuture<OperatorClient.Answer> submit(
                OperatorClient operator, int instance, long number, GrantKey change) {
            final String address = fixture.instances().instance(instance).operatorAddress();
            return CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return operator.submit(address, "racing-operator", number, change);
                        } catch (IOException | InterruptedException failure) {
                            throw new IllegalStateException(failure);
                        }
                    });
        }
    }
}
