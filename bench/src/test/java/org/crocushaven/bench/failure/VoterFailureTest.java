package org.crocushaven.bench.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocushaven.bench.process.InstanceFleet;
import org.crocushaven.bench.process.OperatorClient;
import org.crocushaven.bench.process.Probe;
import org.crocushaven.bench.process.ServedFleet;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyHash;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.ClassOrderer;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestClassOrder;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Loses voters, their processes and their data folders; three voters and one other. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
@TestClassOrder(ClassOrderer.OrderAnnotation.class)
@Tag("process")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class VoterFailureTest {
    private static final int INSTANCES = 4;
    private static final int VOTERS = 3;
    private static final int OTHER = 3;
    private static final int LEADER_LOSSES = 3;
    private static final int CHANGES = 300;
    private static final double ACCEPTED_AGAIN_BOUND_MILLIS = 2_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** The time within which the product answers a change of voters. */
    private static final Duration VOTER_CHANGE_BOUND = Duration.ofSeconds(30);

    @TempDir private static Path folder;
    private FailureFixture fixture;
    private int grants;

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

    private long change() throws Exception {
        grants++;
        return fixture.fleet()
                .submit(new GrantKey(KeyHash.ofKey("granted-" + grants), "szczapa", "change"));
    }

    private int awaitLeader() throws Exception {
        final ServedFleet fleet = fixture.fleet();
        Probe.await("a leader", TIMEOUT, () -> fleet.leader(OTHER) >= 0);
        return fleet.leader(OTHER);
    }

    private void awaitVoters(int count) throws Exception {
        final OperatorClient operator = fixture.fleet().operator();
        Probe.await(
                count + " voters",
                TIMEOUT,
                () -> {
                    final int leader = fixture.fleet().leader(OTHER);
                    return leader >= 0
                            && operator.get(
                                                    fixture.instances()
                                                            .instance(leader)
                                                            .operatorAddress(),
                                                    "voters")
                                            .document()
                                            .size()
                                    == count;
                });
    }

    private OperatorClient.Answer voter(String operation) throws Exception {
        return fixture.fleet()
                .operator()
                .withTimeout(VOTER_CHANGE_BOUND)
                .post(
                        fixture.instances().instance(OTHER).operatorAddress(),
                        "voters/" + operation,
                        "");
    }

    private static void delete(Path data) throws IOException {
        try (Stream<Path> files = Files.walk(data)) {
            for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Nested
    @Order(1)
    class LeaderLoss {
        @Test
        void letsChangesThroughAgainSoon() throws Exception {
            final InstanceFleet instances = fixture.instances();
            final List<Double> millis = new ArrayList<>();
            long revision = change();
            for (int loss = 0; loss < LEADER_LOSSES; loss++) {
                final int leader = awaitLeader();
                instances.process(leader).kill();
                final long lostAtNanos = System.nanoTime();
                final long next = change();
                millis.add((System.nanoTime() - lostAtNanos) / 1e6);
                assertEquals(revision + 1, next, "revisions grow by one");
                revision = next;
                instances.start(leader);
                instances.awaitReady(leader, TIMEOUT);
                fixture.fleet().awaitRevision(revision, TIMEOUT);
            }
            millis.sort(Comparator.naturalOrder());
            System.out.println("changes accepted again after ms " + millis);
            assertTrue(
                    millis.get(LEADER_LOSSES / 2) <= ACCEPTED_AGAIN_BOUND_MILLIS,
                    millis.toString());
        }
    }

    @Nested
    @Order(2)
    @TestMethodOrder(MethodOrderer.OrderAnnotation.class)
    class Restart {
        @Test
        @Order(1)
        void ofEveryInstanceKeepsTheRevision() throws Exception {
            long revision = 0;
            for (int change = 0; change < CHANGES; change++) {
                revision = change();
            }
            final InstanceFleet instances = fixture.instances();
            for (int position = 0; position < INSTANCES; position++) {
                instances.process(position).kill();
            }
            for (int position = 0; position < INSTANCES; position++) {
                instances.start(position);
            }
            instances.awaitReady(TIMEOUT);
            fixture.fleet().awaitRevision(revision, TIMEOUT);
            for (int position = 0; position < INSTANCES; position++) {
                assertEquals(revision, fixture.fleet().revision(position));
            }
            for (int position = 0; position < INSTANCES; position++) {
                fixture.awaitServing(position);
            }
            assertEquals(revision + 1, change());
        }
    }

    @Nested
    @Order(3)
    class DataFolderLoss {
        @Test
        void isRepairedBeforeAnotherLoss() throws Exception {
            final InstanceFleet instances = fixture.instances();
            final long revision = change();
            final int lost = (awaitLeader() + 1) % VOTERS;
            final String name = instances.instance(lost).name();
            instances.process(lost).kill();
            delete(instances.instance(lost).dataFolder().orElseThrow());
            final OperatorClient.Answer removal = voter(name + "/remove");
            assertTrue(removal.accepted(), () -> "removed: " + removal);
            awaitVoters(VOTERS - 1);
            instances.start(lost);
            Probe.await("the voter is added", TIMEOUT, () -> voter(name + "/add").accepted());
            awaitVoters(VOTERS);
            final int second = (lost + 1) % VOTERS;
            instances.process(second).kill();
            assertEquals(revision + 1, change());
            instances.start(second);
            instances.awaitReady(second, TIMEOUT);
            fixture.fleet().awaitRevision(revision + 1, TIMEOUT);
        }
    }
}
