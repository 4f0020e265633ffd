package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.protocol.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ControlInstanceTest {
    private static final List<String> NAMES = List.of("one", "two", "three");
    private static final String NO_VOTER = "no-voter";
    private static final String BACKEND = "worker";
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long HEARTBEAT_MILLIS = 10_000;

    @TempDir private Path folder;
    private final ControlNetwork network = new ControlNetwork();
    private final TreeMap<String, DefaultEventLoop> loops = new TreeMap<>();
    private final TreeMap<String, ControlInstance> instances = new TreeMap<>();

    @BeforeEach
    void start() {
        NAMES.forEach(name -> open(name, NAMES));
        open(NO_VOTER, List.of());
        instances.values().forEach(instance -> instance.start(NAMES));
    }

    private void open(String name, List<String> firstVoters) {
        final DefaultEventLoop loop = new DefaultEventLoop();
        loops.put(name, loop);
        instances.put(
                name,
                ControlInstance.open(
                        new ControlSettings(
                                name, folder.resolve(name), firstVoters, 1, HEARTBEAT_MILLIS, 0, 0),
                        network.endpoint(name, loop),
                        loop,
                        new NoDialect(),
                        SystemNanoClock.INSTANCE,
                        SystemEpochClock.INSTANCE,
                        name.hashCode()));
    }

    @AfterEach
    void stop() {
        instances.values().forEach(ControlInstance::close);
        loops.values().forEach(loop -> loop.shutdownGracefully(0, 1, TimeUnit.SECONDS));
    }

    private static BackendAnnouncement announcement(long sequence, BackendState state) {
        return new BackendAnnouncement(
                BACKEND, "service", "10.0.0.1", 80, "a", state, 4, 1, sequence, false, List.of());
    }

    private static GatewayReport report() {
        return new GatewayReport(
                "gateway",
                0,
                0,
                0,
                0,
                List.of(),
                List.of(),
                ShareHolder.create(1).report(System.nanoTime()));
    }

    private CompletableFuture<Void> announce(String instance, BackendAnnouncement announcement) {
        final CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        loops.get(instance)
                .execute(
                        () ->
                                instances
                                        .get(instance)
                                        .announce(announcement)
                                        .whenComplete(
                                                (done, failure) -> {
                                                    if (failure == null) {
                                                        acknowledged.complete(null);
                                                    } else {
                                                        acknowledged.completeExceptionally(failure);
                                                    }
                                                }));
        return acknowledged;
    }

    /** Returns the update of the leader other than the given instances, once there is one. */
    private Led awaitLeader(Set<String> except) throws Exception {
        final long startNanos = System.nanoTime();
        while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < TIMEOUT_MILLIS) {
            for (final String name : NAMES) {
                final Message answer =
                        network.ask(name, report()).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (!except.contains(name) && answer instanceof GatewayUpdate update) {
                    return new Led(name, update);
                }
            }
        }
        throw new AssertionError("no instance leads");
    }

    private static Optional<BackendState> stateOf(GatewayUpdate update) {
        return update.changed().stream()
                .filter(record -> record.backend().equals(BACKEND))
                .map(BackendRecord::state)
                .findFirst();
    }

    private String leaderThatKnowsBackend() throws Exception {
        final String leader = awaitLeader(Set.of()).instance();
        for (final String name : NAMES) {
            announce(name, announcement(1, BackendState.READY)).get();
        }
        assertEquals(Optional.of(BackendState.READY), stateOf(awaitLeader(Set.of()).update()));
        return leader;
    }

    @Nested
    class AcknowledgedDepartures {
        @Test
        void areKnownToTheNextLeaderThoughTheFirstOneToldNobody() throws Exception {
            final String leader = leaderThatKnowsBackend();
            network.loseOneWay(BackendAnnouncement.class);
            announce(leader, announcement(2, BackendState.DRAINING))
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

            network.isolate(leader);

            assertEquals(
                    Optional.of(BackendState.DRAINING),
                    stateOf(awaitLeader(Set.of(leader)).update()));
        }

        @Test
        void ofDeregisteredBackendServersAreKnownToTheNextLeader() throws Exception {
            final String leader = leaderThatKnowsBackend();
            network.loseOneWay(BackendAnnouncement.class);
            announce(leader, BackendAnnouncement.deregistration(BACKEND))
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

            network.isolate(leader);

            assertEquals(Optional.empty(), stateOf(awaitLeader(Set.of(leader)).update()));
        }

        @Test
        void areNotGivenByLeaderThatReachesNoOtherInstance() throws Exception {
            final String leader = leaderThatKnowsBackend();
            network.isolate(leader);

            assertFalse(isAcknowledged(leader, announcement(2, BackendState.DRAINING)));
        }

        @Test
        void areGivenByInstanceThatIsNoVoter() throws Exception {
            leaderThatKnowsBackend();
            final long startNanos = System.nanoTime();
            boolean acknowledged = false;
            while (!acknowledged
                    && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
                            < TIMEOUT_MILLIS) {
                acknowledged = isAcknowledged(NO_VOTER, announcement(2, BackendState.DRAINING));
            }

            assertTrue(acknowledged);
        }

        private boolean isAcknowledged(String instance, BackendAnnouncement announcement)
                throws Exception {
            try {
                announce(instance, announcement).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return true;
            } catch (ExecutionException | TimeoutException failure) {
                return false;
            }
        }
    }

    /**
     * The leader of a moment.
     *
     * @param instance its name
     * @param update its answer to a gateway that knows nothing
     */
    private record Led(String instance, GatewayUpdate update) {}

    /** Stands in for the platform's calls, of which these tests make none. */
    private static final class NoDialect implements ControlDialect {
        @Override
        public ControlCall decode(FullHttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public IngressConfiguration decodeConfiguration(byte[] document) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FullHttpRequest encodeOrder(String backend, EngineOrder order, OrderFence fence) {
            throw new UnsupportedOperationException();
        }

        @Override
        public OrderOutcome decodeOrderAnswer(int status) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FullHttpRequest encodeReportRequest(String backend) {
            throw new UnsupportedOperationException();
        }

        @Override
        public EngineReport decodeReport(byte[] body) {
            throw new UnsupportedOperationException();
        }
    }
}
