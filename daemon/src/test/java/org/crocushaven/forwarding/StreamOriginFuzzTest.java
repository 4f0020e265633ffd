package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import org.crocushaven.fleet.BackendAnnouncement;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.fleet.BegunStreams;
import org.crocushaven.fleet.FleetCommand;
import org.crocushaven.fleet.FleetState;
import org.crocushaven.fleet.SoftwareVersionLog;
import org.crocushaven.fleet.StreamDirectory;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.crocushaven.protocol.MessageCodec;
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

        /** The versions that each gateway may use, as a leader last told it. */
        private final List<Set<String>> offered = new ArrayList<>();

        private final FleetState state = FleetState.create();
        private final Deque<Proposal> proposals = new ArrayDeque<>();
        private final List<Begun> streams = new ArrayList<>();

        /** Streams of which the present leader has received a report. */
        private final Map<Long, String> told = new HashMap<>();

        private StreamDirectory leader;
        private long epoch;
        private long nowNanos = TimeUnit.SECONDS.toNanos(1);
        private int versions = 1;

        /** A version whose announcements the leader misses for a while; empty if there is none. */
        private String missed = "";

        private long missedUntilNanos;

        private Case(long seed) {
            random = RandomGeneratorFactory.of("SplittableRandom").create(seed);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                gateways.add(newMemory());
                offered.add(Set.of());
            }
            if (random.nextInt(4) == 0) {
                faults.count(StreamOriginFault.OLDER_STATE);
                configure();
            }
            changeLeader();
            configure();
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                nowNanos += TimeUnit.MILLISECONDS.toNanos(random.nextLong(1, MAXIMUM_STEP_MILLIS));
                advanceLeader();
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
                final int lost = random.nextInt(GATEWAYS);
                gateways.set(lost, newMemory());
                offered.set(lost, Set.of());
            } else if (choice < 6 && serving.size() < MAXIMUM_VERSIONS) {
                faults.count(StreamOriginFault.VERSION_STARTED);
                versions++;
                serving.add("v" + versions);
                serving.forEach(this::announce);
                if (random.nextInt(3) == 0) {
                    loseLeaderAtNewVersion("v" + versions);
                }
            } else if (serving.size() > 1) {
                faults.count(StreamOriginFault.VERSION_ENDED);
                serving.remove(servingVersion());
            }
        }

        private void changeLeader() {
            changeLeader(random.nextBoolean() ? servingVersion() : "");
        }

        private void changeLeader(String missedByNext) {
            endProposals();
            if (random.nextInt(8) == 0) {
                leadWithOlderSoftware();
            }
            epoch++;
            state.termBegan(epoch);
            leader =
                    StreamDirectory.of(
                            SoftwareVersionLog.startingAt(state, epoch, this::propose, nowNanos));
            leader.setLongestStreamMillis(LONGEST_MILLIS);
            missed = missedByNext;
            if (!missed.isEmpty()) {
                faults.count(StreamOriginFault.ANNOUNCEMENTS_MISSED);
                missedUntilNanos = nowNanos + random.nextLong(longestNanos());
            }
            serving.forEach(this::announce);
            told.clear();
        }

        /** Lets gateways use every version under a leader that commits none. */
        private void leadWithOlderSoftware() {
            faults.count(StreamOriginFault.OLDER_LEADER);
            epoch++;
            state.termBegan(epoch);
            configure();
            if (serving.size() < MAXIMUM_VERSIONS) {
                versions++;
                serving.add("v" + versions);
            }
            offered.replaceAll(versionsBefore -> Set.copyOf(serving));
            for (int stream = 0; stream < GATEWAYS; stream++) {
                beginStream();
            }
        }

        /** Loses the leader between its first announcement of a version and the commit. */
        private void loseLeaderAtNewVersion(String version) {
            faults.count(StreamOriginFault.LEADER_LOST_AT_NEW_VERSION);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                update(gateway);
                beginStream();
            }
            changeLeader(version);
            for (int recent = 1; recent <= Math.min(GATEWAYS, streams.size()); recent++) {
                takeUp(streams.get(streams.size() - recent));
            }
            if (random.nextBoolean()) {
                serving.remove(version);
            }
        }

        /** Ends the proposals of a lost leader, each of which may have been committed or not. */
        private void endProposals() {
            while (!proposals.isEmpty()) {
                final Proposal proposal = proposals.remove();
                if (random.nextBoolean()) {
                    faults.count(StreamOriginFault.COMMITTED_UNKNOWN_TO_LEADER);
                    apply(proposal.command());
                } else {
                    faults.count(StreamOriginFault.PROPOSAL_LOST);
                }
            }
        }

        private void advanceLeader() {
            serving.forEach(this::announce);
            leader.tick(nowNanos);
            if (!proposals.isEmpty() && random.nextInt(3) == 0) {
                final Proposal proposal = proposals.remove();
                apply(proposal.command());
                proposal.done().complete(null);
            }
        }

        private CompletableFuture<Void> propose(FleetCommand command) {
            final Proposal proposal = new Proposal(command, new CompletableFuture<>());
            proposals.add(proposal);
            return proposal.done();
        }

        private void configure() {
            apply(FleetCommand.configuration(1, new byte[] {1}));
        }

        private void apply(FleetCommand command) {
            state.apply(1, MessageCodec.encodeValue(command));
        }

        private BegunStreamMemory newMemory() {
            final BegunStreamMemory memory = new BegunStreamMemory();
            memory.setRetentionMillis(LONGEST_MILLIS);
            return memory;
        }

        private void announce(String version) {
            if (!version.equals(missed) || nowNanos - missedUntilNanos >= 0) {
                leader.observe(announcement(version), nowNanos);
            }
        }

        private static BackendAnnouncement announcement(String version) {
            return new BackendAnnouncement(
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
                    version,
                    0);
        }

        /** Tells a gateway which versions it may use. */
        private void update(int number) {
            offered.set(
                    number,
                    serving.stream()
                            .filter(version -> leader.mayServe(announcement(version)))
                            .collect(Collectors.toUnmodifiableSet()));
        }

        private String servingVersion() {
            return List.copyOf(serving).get(random.nextInt(serving.size()));
        }

        private void beginStream() {
            final int number = random.nextInt(GATEWAYS);
            final BegunStreamMemory gateway = gateways.get(number);
            final List<String> usable =
                    serving.stream().filter(offered.get(number)::contains).toList();
            if (usable.isEmpty()) {
                return;
            }
            final String version = usable.get(random.nextInt(usable.size()));
            final Begun begun =
                    new Begun("request-" + random.nextLong(), version, nowNanos, gateway);
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
                update(number);
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
            if (!streams.isEmpty()) {
                takeUp(streams.get(random.nextInt(streams.size())));
            }
        }

        private void takeUp(Begun begun) {
            final BegunStreamMemory gateway = gateways.get(random.nextInt(GATEWAYS));
            final Optional<StreamOrigin> own = gateway.find(begun.request());
            final long stream = StreamIdentifier.of(begun.request());
            final Optional<StreamOrigin> found =
                    own.or(() -> leader.find(new StreamOriginQuery(stream, SERVICE)));
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

    private record Proposal(FleetCommand command, CompletableFuture<Void> done) {}

    private record Begun(String request, String version, long nanos, BegunStreamMemory gateway) {}
}
