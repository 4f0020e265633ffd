package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.crocushaven.fleet.BackendAnnouncement;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.fleet.BegunStreams;
import org.crocushaven.fleet.StreamDirectory;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Loses gateways, leaders and messages while software versions come and go, and checks against the
 * truth that a stream is never said to have begun at another version.
 */
@Tag("fuzz")
class StreamOriginFuzzTest {
    private static final int CASES = 300;
    private static final int STEPS = 600;
    private static final int GATEWAYS = 4;
    private static final int MAXIMUM_VERSIONS = 3;
    private static final long LONGEST_MILLIS = 4_000;
    private static final long MAXIMUM_STEP_MILLIS = 100;
    private static final String SERVICE = "service";

    private final FaultCounts<StreamOriginFault> faults = FaultCounts.of(StreamOriginFault.class);

    @Test
    void streamIsNeverSaidToHaveBegunAtAnotherVersion() {
        FuzzSettings.forEachCase("stream-origin", CASES, seed -> new Case(seed).run());

        faults.print("stream-origin");
        if (!FuzzSettings.isSingleCase()) {
            faults.assertAllOccurred();
        }
    }

    private final class Case {
        private final RandomGenerator random;
        private final TreeSet<String> serving = new TreeSet<>(List.of("v1"));
        private final List<BegunStreamMemory> gateways = new ArrayList<>();
        private final List<Begun> streams = new ArrayList<>();

        /** Streams of which the present leader has received a report. */
        private final Map<Long, String> told = new HashMap<>();

        private StreamDirectory leader;
        private long epoch;
        private long nowNanos = TimeUnit.SECONDS.toNanos(1);
        private int versions = 1;

        private Case(long seed) {
            random = RandomGeneratorFactory.of("SplittableRandom").create(seed);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                gateways.add(newMemory());
            }
            changeLeader();
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                nowNanos += TimeUnit.MILLISECONDS.toNanos(random.nextLong(1, MAXIMUM_STEP_MILLIS));
                serving.forEach(this::announce);
                streams.removeIf(begun -> nowNanos - begun.nanos() > longestNanos());
                final double choice = random.nextDouble();
                if (choice < 0.4) {
                    beginStream();
                } else if (choice < 0.7) {
                    report(random.nextInt(GATEWAYS));
                } else if (choice < 0.96) {
                    takeUp();
                } else {
                    disturb();
                }
            }
        }

        private void disturb() {
            final int choice = random.nextInt(8);
            if (choice == 0) {
                faults.count(StreamOriginFault.LEADER_CHANGED);
                changeLeader();
            } else if (choice < 4) {
                faults.count(StreamOriginFault.GATEWAY_LOST);
                gateways.set(random.nextInt(GATEWAYS), newMemory());
            } else if (choice < 6 && serving.size() < MAXIMUM_VERSIONS) {
                faults.count(StreamOriginFault.VERSION_STARTED);
                versions++;
                serving.add("v" + versions);
                serving.forEach(this::announce);
            } else if (serving.size() > 1) {
                faults.count(StreamOriginFault.VERSION_ENDED);
                serving.remove(servingVersion());
            }
        }

        private void changeLeader() {
            epoch++;
            leader = StreamDirectory.startingAt(nowNanos);
            leader.setLongestStreamMillis(LONGEST_MILLIS);
            serving.forEach(this::announce);
            told.clear();
        }

        private BegunStreamMemory newMemory() {
            final BegunStreamMemory memory = new BegunStreamMemory();
            memory.setRetentionMillis(LONGEST_MILLIS);
            return memory;
        }

        private void announce(String version) {
            leader.observe(
                    new BackendAnnouncement(
                            version,
                            SERVICE,
                            "10.0.0.1",
                            80,
                            "a",
                            BackendState.READY,
                            16,
                            1,
                            1,
                            false,
                            List.of(),
                            version),
                    nowNanos);
        }

        private String servingVersion() {
            return List.copyOf(serving).get(random.nextInt(serving.size()));
        }

        private void beginStream() {
            final BegunStreamMemory gateway = gateways.get(random.nextInt(GATEWAYS));
            final Begun begun =
                    new Begun("request-" + random.nextLong(), servingVersion(), nowNanos, gateway);
            streams.add(begun);
            gateway.recordBegun(
                    begun.request(), new StreamOrigin(SERVICE, begun.version()), nowNanos);
        }

        private void report(int number) {
            final BegunStreamMemory gateway = gateways.get(number);
            final List<BegunStreams> report = gateway.unreported();
            final double loss = random.nextDouble();
            if (loss < 0.1) {
                faults.count(StreamOriginFault.REPORT_LOST);
                return;
            }
            leader.add(report, nowNanos);
            for (final BegunStreams begun : report) {
                begun.streams()
                        .forEach(stream -> told.put(stream, begun.origin().softwareVersion()));
            }
            if (loss < 0.2) {
                faults.count(StreamOriginFault.ANSWER_LOST);
            } else {
                gateway.reportAnswered(epoch);
                checkLeaderKnowsAll(gateway);
            }
        }

        /** Checks that a gateway that has nothing more to report has reported all its streams. */
        private void checkLeaderKnowsAll(BegunStreamMemory gateway) {
            if (gateway.unreported().isEmpty()) {
                for (final Begun begun : streams) {
                    assertTrue(
                            begun.gateway() != gateway
                                    || told.containsKey(StreamIdentifier.of(begun.request())),
                            "the leader was not told of a stream");
                }
            }
        }

        private void takeUp() {
            if (streams.isEmpty()) {
                return;
            }
            final Begun begun = streams.get(random.nextInt(streams.size()));
            final BegunStreamMemory gateway = gateways.get(random.nextInt(GATEWAYS));
            final Optional<StreamOrigin> own = gateway.find(begun.request());
            final long stream = StreamIdentifier.of(begun.request());
            final Optional<StreamOrigin> found =
                    own.or(() -> leader.find(new StreamOriginQuery(stream, SERVICE), nowNanos));
            found.ifPresent(origin -> assertEquals(begun.version(), origin.softwareVersion()));
            assertTrue(
                    found.isPresent() || !told.containsKey(stream),
                    "a stream that the leader was told of is unknown");
            count(own.isPresent(), told.containsKey(stream), found.isPresent());
        }

        private void count(boolean own, boolean wasTold, boolean found) {
            if (own) {
                faults.count(StreamOriginFault.FOUND_AT_GATEWAY);
            } else if (wasTold) {
                faults.count(StreamOriginFault.FOUND_AT_LEADER);
            } else {
                faults.count(found ? StreamOriginFault.ONLY_VERSION : StreamOriginFault.UNKNOWN);
            }
        }

        private long longestNanos() {
            return TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
        }
    }

    private record Begun(String request, String version, long nanos, BegunStreamMemory gateway) {}
}
