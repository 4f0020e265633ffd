package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.HeldAdapter;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultException;

/**
 * Sends requests to backend servers that stand in on loopback, through one gateway's forwarding.
 */
final class NoticeFixture implements AutoCloseable {
    static final HeldAdapter HELD = new HeldAdapter("base", "a1", 1);
    private static final String SERVICE = "engines";
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final GatewayBackends view = new GatewayBackends(new Random(1));
    private final Map<String, StandInBackend> backends = new TreeMap<>();
    private final Set<String> distant = new HashSet<>();
    private final Deque<CompletableFuture<AdapterGrant>> grants = new ArrayDeque<>();
    private final List<AdapterRequest> adapterRequests = new ArrayList<>();
    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final ForwardingEnvironment environment;

    private NoticeFixture(int maximumAttempts, double retryExtra) {
        this.environment = environment(maximumAttempts, retryExtra);
    }

    /** Returns a gateway without backend servers. */
    static NoticeFixture withAttempts(int maximumAttempts, double retryExtra) {
        return new NoticeFixture(maximumAttempts, retryExtra);
    }

    /**
     * Starts backend servers in another failure domain, which are chosen only where no other one
     * can be.
     */
    void startDistantBackends(String... names) {
        distant.addAll(List.of(names));
        startBackends(names);
    }

    /** Starts backend servers that hold the adapter, and adds their records. */
    void startBackends(String... names) {
        for (final String name : names) {
            backends.put(name, StandInBackend.start());
        }
        update(1, names);
    }

    StandInBackend backend(String name) {
        return backends.get(name);
    }

    /** Applies the leader's records, which say that the backend servers are ready. */
    void update(long startedMillis, String... names) {
        onLoop(
                () ->
                        apply(
                                Arrays.stream(names)
                                        .map(name -> record(name, startedMillis, HELD))
                                        .toList()));
    }

    /** Applies the leader's records of backend servers that hold no adapter. */
    void updateWithoutAdapter(String... names) {
        onLoop(() -> apply(Arrays.stream(names).map(name -> record(name, 1)).toList()));
    }

    /** Grants the adapter on a backend server at the next request for one. */
    void grant(String backend, long readyInMillis) {
        grantLater(CompletableFuture.completedFuture(new AdapterGrant(backend, readyInMillis, 1)));
    }

    void grantLater(CompletableFuture<AdapterGrant> grant) {
        grants.add(grant);
    }

    List<AdapterRequest> adapterRequests() {
        return adapterRequests;
    }

    /** Returns the notices that were reported so far. */
    List<String> notices() {
        return List.copyOf(notices);
    }

    double failuresAt(String backend) {
        return onLoop(() -> environment.health().failures(backend, System.nanoTime()));
    }

    /** Serves one request and returns its result. */
    Result request() {
        return start(() -> {}).await();
    }

    /** Starts a request, and runs an action on the loop before anything comes back for it. */
    PendingResult start(Runnable next) {
        final RecordingClient client = new RecordingClient();
        loop.execute(
                () -> {
                    RequestForwarding.start(
                            environment, ingressRequest(), RequestBody.empty(), client);
                    next.run();
                });
        return new PendingResult(client);
    }

    /** Records, on the loop, that a backend server said that it leaves. */
    void leave(String backend) {
        view.notices().recordLeaving(view.find(backend).orElseThrow());
    }

    /** Records, on the loop, that a backend server wants no requests for a time. */
    void pause(String backend, long millis) {
        pause(backend, millis, 0);
    }

    /** Records, on the loop, that a backend server wanted no requests for a time, some time ago. */
    void pause(String backend, long millis, long agoMillis) {
        view.notices()
                .recordPause(
                        backend,
                        Duration.ofMillis(millis),
                        System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(agoMillis));
    }

    void runOnLoop(Runnable action) {
        onLoop(action);
    }

    @Override
    public void close() {
        backends.values().forEach(StandInBackend::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private BackendRecord record(String name, long startedMillis, HeldAdapter... held) {
        return BackendRecordBuilder.of(name, SERVICE)
                .atPort(backends.get(name).port())
                .inDomain(distant.contains(name) ? "b" : "a")
                .holding(held)
                .startedAt(startedMillis)
                .build();
    }

    private void apply(List<BackendRecord> changed) {
        view.apply(
                GatewayUpdateBuilder.ofBackends(changed, List.of()),
                System.nanoTime(),
                System.nanoTime());
    }

    private void onLoop(Runnable action) {
        onLoop(
                () -> {
                    action.run();
                    return null;
                });
    }

    private <T> T onLoop(Supplier<T> action) {
        return waitFor(CompletableFuture.supplyAsync(action, loop));
    }

    private static <T> T waitFor(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException failure) {
            throw new AssertionError(failure);
        }
    }

    private ForwardingEnvironment environment(int maximumAttempts, double retryExtra) {
        final IngressConfiguration configuration =
                ChatRouteBuilder.to(SERVICE)
                        .timeoutMillis(TIMEOUT_MILLIS)
                        .objectives(5_000, 3_000)
                        .attempts(maximumAttempts)
                        .resumable(true)
                        .configuration();
        return ForwardingEnvironmentBuilder.of(loop, configuration, new QueuedGrants())
                .dialect(new StandInDialect())
                .view(view)
                .retryBudget(0, retryExtra)
                .observer(new NoticeRecorder())
                .build();
    }

    private static IngressRequest ingressRequest() {
        return ChatRequestBuilder.of("base", "a1").build();
    }

    /**
     * The result of a request.
     *
     * @param status status of the answer, or of the refusal
     * @param refusal the refusal, if it was refused
     * @param complete whether the answer was complete
     */
    record Result(int status, Optional<ResultException> refusal, boolean complete) {}

    /** Waits for the result of a request. */
    record PendingResult(RecordingClient client) {
        Result await() {
            return waitFor(client.result);
        }
    }

    /** Answers each request for an adapter with the next grant, or with none. */
    private final class QueuedGrants implements LeaderRequests {
        @Override
        public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
            adapterRequests.add(request);
            return grants.isEmpty()
                    ? CompletableFuture.completedFuture(AdapterGrant.none(100))
                    : grants.remove();
        }

        @Override
        public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
            throw new AssertionError("no stream is taken up");
        }

        @Override
        public void afterNextReport(Runnable action) {
            throw new AssertionError("the route needs no tokens");
        }
    }

    /** Records reported notices. */
    private final class NoticeRecorder extends IgnoringObserver {
        @Override
        public void leavingAnnounced(IngressRequest request, String backend) {
            notices.add("leaving " + backend);
        }

        @Override
        public void pauseAnnounced(IngressRequest request, String backend, long millis) {
            notices.add("paused " + backend + ' ' + millis);
        }
    }

    /** Records the result of one request. */
    private static final class RecordingClient implements ClientAnswer {
        private final CompletableFuture<Result> result = new CompletableFuture<>();

        @Override
        public void refuse(ResultException refusal) {
            result.complete(new Result(refusal.code().httpStatus(), Optional.of(refusal), true));
        }

        @Override
        public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
            body.release();
            result.complete(new Result(status.code(), Optional.empty(), true));
        }

        @Override
        public void startStream(HttpResponseStatus status, HttpHeaders headers) {}

        @Override
        public void sendEvents(ByteBuf events) {
            events.release();
        }

        @Override
        public void endStream() {
            result.complete(new Result(200, Optional.empty(), true));
        }

        @Override
        public void abort() {
            result.complete(new Result(200, Optional.empty(), false));
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    /** Reads and writes the headers of {@link StandInBackend}. */
    private static final class StandInDialect implements UnrelayedDialect {
        @Override
        public IngressRequest decodeRequest(HttpRequest head) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields) {
            fields.lastEventId().ifPresent(id -> headers.set(StandInBackend.RESUME_AFTER, id));
        }

        @Override
        public BackendAnswerHead decodeAnswer(HttpResponse head) {
            return new BackendAnswerHead(
                    Optional.empty(),
                    true,
                    head.headers().contains(StandInBackend.NOT_RUN),
                    Optional.empty(),
                    head.headers().contains(StandInBackend.LEAVING),
                    Optional.ofNullable(head.headers().get(StandInBackend.PAUSE_MILLIS))
                            .map(Long::parseLong)
                            .map(Duration::ofMillis),
                    Optional.ofNullable(head.headers().get(StandInBackend.LIMIT))
                            .map(Double::parseDouble)
                            .map(NamedLimit::of)
                            .orElse(NamedLimit.NONE),
                    OptionalDouble.empty());
        }
    }
}
