package org.crocushaven.fleet;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.outbound.AnsweredRequest;
import org.crocushaven.protocol.Message;
import org.crocushaven.storage.FaultyDisk;

/** Runs control instances in one process on a {@link ControlNetwork}. */
final class ControlFleet implements AutoCloseable {
    static final List<String> VOTERS = List.of("one", "two", "three");
    private static final long HEARTBEAT_MILLIS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final Path folder;
    private final ControlNetwork network = new ControlNetwork();
    private final AtomicLong clockOffsetMillis = new AtomicLong();
    private final Map<String, DefaultEventLoop> loops = new TreeMap<>();
    private final Map<String, ControlInstance> instances = new TreeMap<>();
    private final Map<String, FaultyDisk> disks = new TreeMap<>();

    ControlFleet(Path folder) {
        this.folder = folder;
    }

    ControlNetwork network() {
        return network;
    }

    /** Starts an instance; a voter of the first group if it is one of {@link #VOTERS}. */
    void start(String name) {
        final DefaultEventLoop loop = new DefaultEventLoop();
        final ControlInstance instance =
                ControlInstance.open(
                        new ControlSettings(
                                name,
                                disk(name).wrap(folder.resolve(name)),
                                VOTERS.contains(name) ? VOTERS : List.of(),
                                1,
                                HEARTBEAT_MILLIS,
                                0,
                                0,
                                List.of("a", "b")),
                        network.endpoint(name, loop),
                        loop,
                        new NoDialect(),
                        SystemNanoClock.INSTANCE,
                        () -> SystemEpochClock.INSTANCE.time() + clockOffsetMillis.get(),
                        name.hashCode());
        loops.put(name, loop);
        instances.put(name, instance);
        network.setRunning(name, true);
        instance.start(VOTERS);
    }

    /** Returns the disk of an instance. */
    FaultyDisk disk(String name) {
        return disks.computeIfAbsent(name, added -> new FaultyDisk());
    }

    /** Sends an instance a configuration, as an operator does. */
    CompletableFuture<Void> replace(String instance, long version) {
        return CompletableFuture.supplyAsync(
                        () -> instances.get(instance).replace(version, document(version)),
                        loops.get(instance))
                .thenCompose(sent -> sent);
    }

    /** Sends an instance an order on a failure domain, as an operator does. */
    CompletableFuture<Void> orderEvacuation(String instance, String domain, boolean begins) {
        return CompletableFuture.supplyAsync(
                        () -> instances.get(instance).evacuate(domain, begins), loops.get(instance))
                .thenCompose(sent -> sent);
    }

    /** Returns whether an instance acknowledges an order within the time of a call. */
    boolean evacuate(String instance, String domain, boolean begins) {
        return isAnswered(orderEvacuation(instance, domain, begins));
    }

    /** Returns the version of the configuration that an instance reads back; 0 if it reads none. */
    long readVersion(String instance) {
        final CompletableFuture<byte[]> document =
                CompletableFuture.supplyAsync(
                                () -> instances.get(instance).describe(), loops.get(instance))
                        .thenCompose(asked -> asked);
        return isAnswered(document)
                ? Long.parseLong(new String(document.join(), StandardCharsets.US_ASCII))
                : 0;
    }

    private static byte[] document(long version) {
        return Long.toString(version).getBytes(StandardCharsets.US_ASCII);
    }

    /** Lets an instance prepare its end as one does that was asked to stop. */
    void giveVoteBack(String name) {
        instances.get(name).giveVoteBack(CALL_TIMEOUT_MILLIS).join();
    }

    /** Stops an instance, which forgets what it has not stored. */
    void stop(String name) {
        network.setRunning(name, false);
        instances.remove(name).close();
        loops.remove(name).shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Sets the time of day forward on all instances. */
    void setClocksForward(long millis) {
        clockOffsetMillis.addAndGet(millis);
    }

    /** Returns the voters that an instance knows. */
    List<String> voters(String instance) {
        return instances.get(instance).voters();
    }

    /** Returns the instance that holds the lease; empty while there is none. */
    Optional<String> leader() {
        return instances.keySet().stream()
                .filter(name -> instances.get(name).isLeader())
                .findFirst();
    }

    /** Returns whether an instance acknowledges an announcement within the time of a call. */
    boolean announce(String instance, BackendAnnouncement announcement) {
        final CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        loops.get(instance).execute(() -> announce(instance, announcement, acknowledged));
        return isAnswered(acknowledged);
    }

    private void announce(
            String instance,
            BackendAnnouncement announcement,
            CompletableFuture<Void> acknowledged) {
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
                        });
    }

    /** Returns an instance's answer to a gateway that knows nothing; null if it gives none. */
    Message report(String instance) {
        final CompletableFuture<Message> answer = network.ask(instance, emptyReport());
        return isAnswered(answer) ? answer.join() : null;
    }

    /** Returns where an instance says that a stream began of which no gateway told. */
    Optional<StreamOrigin> unknownStreamOrigin(String instance, String service) {
        final CompletableFuture<Message> answer =
                network.ask(instance, new StreamOriginQuery(StreamIdentifier.NONE, service));
        return isAnswered(answer) && answer.join() instanceof StreamOriginAnswer found
                ? found.origin()
                : Optional.empty();
    }

    private static boolean isAnswered(CompletableFuture<?> future) {
        try {
            future.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return true;
        } catch (ExecutionException | TimeoutException failure) {
            return false;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static GatewayReport emptyReport() {
        return new GatewayReport(
                "gateway",
                0,
                0,
                0,
                0,
                List.of(),
                List.of(),
                ShareHolder.create(1).report(System.nanoTime()),
                List.of(),
                TraitReport.EMPTY,
                List.of(),
                PathReport.EMPTY,
                List.of());
    }

    @Override
    public void close() {
        List.copyOf(instances.keySet()).forEach(this::stop);
    }

    /** Stands in for the platform's calls; these tests only send configurations. */
    private static final class NoDialect implements ControlDialect {
        @Override
        public ControlCall decode(FullHttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public IngressConfiguration decodeConfiguration(byte[] document) {
            return IngressConfiguration.of(
                    Long.parseLong(new String(document, StandardCharsets.US_ASCII)),
                    List.of(),
                    List.of(),
                    Optional.empty(),
                    IngressLimits.DEFAULT);
        }

        @Override
        public FullHttpRequest encodeOrder(String backend, EngineOrder order, OrderFence fence) {
            throw new UnsupportedOperationException();
        }

        @Override
        public AnsweredRequest answeredCall(FullHttpRequest call, HttpResponse answer) {
            return AnsweredRequest.UNNAMED;
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
