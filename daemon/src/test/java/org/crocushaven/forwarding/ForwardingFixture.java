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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.admission.ShareChange;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.fleet.TraitUpdate;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.ingress.PromptPart;
import org.crocushaven.ingress.RouteKind;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Serves requests of one route at stand-in backend servers, and records what clients receive. */
final class ForwardingFixture implements AutoCloseable {
    static final long TIMEOUT_MILLIS = 8_000;
    static final long AWAIT_MILLIS = 10_000;

    /** Time after which a backend server that has not begun to answer counts as silent. */
    static final long SILENCE_MILLIS = 700;

    private static final long READ_MILLIS = 50;
    private static final String SERVICE = "engines";
    private static final int OBJECTIVE_MILLIS = 400;
    private static final int PAUSE_MILLIS = 20;
    private static final int MAXIMUM_ATTEMPTS = 2;
    private static final String ORGANISATION = "first";
    private static final String KEY = "key";
    private static final String NOT_RUN = "Not-Run";
    private static final String UNSIGNED = "Unsigned";
    private static final String REQUEST_ID = "Request-Id";
    private static final String LAST_EVENT_ID = "Last-Event-Id";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final GatewayBackends view = new GatewayBackends(new Random(1));
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<ResultCode> ended = new LinkedBlockingQueue<>();
    private final BlockingQueue<UnfinishedWork> unfinished = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> missing = new LinkedBlockingQueue<>();
    private final RouteKind kind;
    private final long timeoutMillis;
    private final double extraRetries;
    private final List<BackendRecord> records = new ArrayList<>();
    private final List<KeyedOrganisation> organisations = new ArrayList<>();
    private ForwardingEnvironment environment;
    private LeaderRequests leader = new NoLeader();
    private Optional<ModelReference> model = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private boolean sharesGranted = true;
    private volatile boolean namedApart;
    private volatile boolean unnamed;
    private int requests;
    private volatile IngressConfiguration configuration;
    private volatile long passedNanos;
    private volatile boolean requestEndsFail;
    private volatile boolean attemptReportsFail;
    private volatile int idleReportsToFail;
    private volatile List<PromptPart> promptParts = List.of();
    private volatile boolean headersFail;
    private volatile boolean searchesFail;

    private ForwardingFixture(RouteKind kind, long timeoutMillis, double extraRetries) {
        this.kind = kind;
        this.timeoutMillis = timeoutMillis;
        this.extraRetries = extraRetries;
    }

    /** Returns a fixture whose requests may be sent again. */
    static ForwardingFixture withRetries(RouteKind kind, long timeoutMillis) {
        return new ForwardingFixture(kind, timeoutMillis, 100);
    }

    /** Returns a fixture whose retry budget is spent by the first retry. */
    static ForwardingFixture withOneRetry(RouteKind kind, long timeoutMillis) {
        return new ForwardingFixture(kind, timeoutMillis, 0);
    }

    /** Announces a backend server that reports no software version. */
    void announce(StandInServer server, int requestSlots) {
        announce(server, requestSlots, "");
    }

    /** Announces a backend server. */
    void announce(StandInServer server, int requestSlots, String softwareVersion) {
        announce(server.name(), server.port(), requestSlots, softwareVersion);
    }

    /** Announces a backend server by its name and port. */
    void announce(String name, int port, int requestSlots, String softwareVersion) {
        records.add(
                BackendRecordBuilder.of(name, SERVICE)
                        .atPort(port)
                        .withSlots(requestSlots)
                        .running(softwareVersion)
                        .build());
    }

    /** Limits all requests to one, which is not refilled during a test. */
    void allowOneRequest() {
        organisations.add(
                new KeyedOrganisation(
                        ORGANISATION,
                        List.of(KEY),
                        OptionalInt.empty(),
                        false,
                        1,
                        1,
                        1,
                        List.of()));
    }

    /** Lets requests wait for tokens, since the leader has granted none yet. */
    void grantNoTokens() {
        allowOneRequest();
        sharesGranted = false;
    }

    /** Makes all requests name an adapter. */
    void requireAdapter() {
        model = Optional.of(new ModelReference("base", "a1"));
    }

    /** Gives each request an identifier of its own; else all have the same one. */
    void nameRequestsApart() {
        namedApart = true;
    }

    /** Gives the next requests the identifiers of the first ones again. */
    void nameRequestsAgain() {
        requests = 0;
    }

    /** Gives the next requests no identifiers. */
    void nameNoRequests() {
        unnamed = true;
    }

    /** Makes all requests take up a stream of which this gateway knows nothing. */
    void takeUpStreams() {
        lastEventId = Optional.of("1");
    }

    /** Leaves the answers of the leader to the test. */
    HeldLeader holdLeader() {
        final HeldLeader held = new HeldLeader();
        leader = held;
        return held;
    }

    /** Waits until a request waits for an answer of the leader. */
    void awaitWait(HeldLeader held) throws Exception {
        final long startNanos = System.nanoTime();
        while (loop.submit(held::awaited).get() == 0) {
            if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS)) {
                throw new AssertionError("no request waits for the leader");
            }
        }
    }

    /** Puts a configuration in force that has no route, no key and no service. */
    void removeAllRoutes() {
        configuration =
                IngressConfiguration.of(
                        2, List.of(), List.of(), Optional.empty(), IngressLimits.DEFAULT);
    }

    /** Puts a configuration in force that has these limits and is the same otherwise. */
    void limit(IngressLimits limits) {
        configuration =
                IngressConfiguration.of(
                        2, configuration.routes(), List.of(), Optional.of(organisations), limits);
    }

    /** Withdraws all backend servers. */
    void removeAllBackendServers() throws Exception {
        records.clear();
        loop.submit(() -> view.apply(update(2), System.nanoTime(), System.nanoTime())).get();
    }

    /** Stops the server of client connections; the future completes when it may end. */
    CompletableFuture<Void> stop(IngressServer server, long graceMillis, long writeMillis)
            throws Exception {
        return loop.submit(
                        () ->
                                GracefulStop.start(
                                        server,
                                        loop,
                                        SystemNanoClock.INSTANCE,
                                        graceMillis,
                                        writeMillis))
                .get();
    }

    /** Spends the retry budget of the service. */
    void spendRetries() throws Exception {
        loop.submit(
                        () -> {
                            while (environment().retryBudget().tryRetry(SERVICE)) {
                                continue;
                            }
                        })
                .get();
    }

    /** Occupies slots of a backend server. */
    void occupy(StandInServer server, int requests) throws Exception {
        occupy(server.name(), requests);
    }

    /** Occupies slots of the backend server with the given name. */
    void occupy(String backend, int requests) throws Exception {
        loop.submit(
                        () -> {
                            environment();
                            for (int request = 0; request < requests; request++) {
                                view.requestStarted(backend, null);
                            }
                        })
                .get();
    }

    /** Returns the number of requests in flight at a backend server. */
    int requestsAt(StandInServer server) throws Exception {
        return loop.submit(() -> view.requestsAt(server.name())).get();
    }

    /** Returns the number of bytes that the gateway holds of answers that are not forwarded yet. */
    long answerBytes() throws Exception {
        return loop.submit(() -> environment().pool().answerMemory().heldBytes()).get();
    }

    /** Returns the highest number of such bytes that it held at any time. */
    long highestAnswerBytes() throws Exception {
        return loop.submit(() -> environment().pool().answerMemory().highestBytes()).get();
    }

    /** Waits until the gateway holds bytes of an answer that is not forwarded yet. */
    void awaitAnswerBytes() throws Exception {
        final long startNanos = System.nanoTime();
        while (answerBytes() == 0) {
            if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS)) {
                throw new AssertionError("no bytes of an answer");
            }
        }
    }

    /** Gives all later requests a prompt with the given parts. */
    void setPromptParts(long... parts) {
        promptParts = Arrays.stream(parts).mapToObj(part -> new PromptPart(part, 1)).toList();
    }

    /** Applies what the leader tells of traits of requests. */
    void tellOfTraits(TraitUpdate traits) throws Exception {
        final GatewayUpdate update =
                GatewayUpdateBuilder.ofTerm(1).state(0, true).traits(traits).build();
        run(() -> environment().crashes().apply(update, true, System.nanoTime()));
    }

    /** Makes the creation of requests to backend servers fail unexpectedly. */
    void failHeaders() {
        headersFail = true;
    }

    /** Makes the report of the end of a request fail unexpectedly. */
    void failWhenRequestsEnd() {
        requestEndsFail = true;
    }

    /** Makes the reports of failed attempts fail unexpectedly. */
    void failAttemptReports() {
        attemptReportsFail = true;
    }

    /** Makes the next report of a connection that is closed as idle fail unexpectedly. */
    void failNextIdleReport() {
        idleReportsToFail = 1;
    }

    /** Lets time pass for connections, but not for timers. */
    void passTime(long millis) {
        passedNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Makes searches for a backend server fail unexpectedly from now on. */
    void failSearches() {
        searchesFail = true;
    }

    /** Starts to accept client connections. */
    IngressServer listen(int port) throws Exception {
        final IngressServer server = loop.submit(() -> new IngressServer(environment())).get();
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return server;
    }

    /** Waits until timers of the given delay have run on the event loop. */
    void passOnLoop(long millis) throws Exception {
        loop.schedule(() -> {}, millis, TimeUnit.MILLISECONDS).get();
    }

    /** Waits until the bytes that a client has sent before are read. */
    void awaitBytes() throws Exception {
        passOnLoop(READ_MILLIS);
    }

    /** Runs an action on the event loop. */
    void run(Runnable action) throws Exception {
        loop.submit(action).get();
    }

    /** Starts a request and returns what its client receives. */
    RecordedAnswer start() throws Exception {
        final RecordedAnswer answer = new RecordedAnswer();
        loop.submit(
                        () ->
                                answer.forwarding =
                                        RequestForwarding.start(
                                                environment(),
                                                request(),
                                                RequestBody.empty(),
                                                answer))
                .get();
        return answer;
    }

    /** Disconnects the client of a request. */
    void disconnect(RecordedAnswer answer) throws Exception {
        loop.submit(() -> answer.forwarding.clientDisconnected()).get();
    }

    /** Returns the next backend server to which a request is sent. */
    String awaitSend() throws InterruptedException {
        return sent.poll(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns what the next retry that was not possible lacked. */
    String awaitMissing() throws InterruptedException {
        return missing.poll(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Waits until the gateway has ended a request, and returns its result. */
    ResultCode awaitRequestEnd() throws InterruptedException {
        return ended.poll(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns what a stopping gateway has left unfinished. */
    List<UnfinishedWork> unfinished() {
        return List.copyOf(unfinished);
    }

    /** Returns the number of sends that {@link #awaitSend} has not returned yet. */
    int pendingSends() {
        return sent.size();
    }

    @Override
    public void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private ForwardingEnvironment environment() {
        if (environment == null) {
            view.apply(update(1), System.nanoTime(), System.nanoTime());
            environment = createEnvironment();
        }
        return environment;
    }

    private GatewayUpdate update(long revision) {
        return GatewayUpdateBuilder.ofTerm(1).completeAt(revision, records).build();
    }

    private ForwardingEnvironment createEnvironment() {
        configuration =
                ChatRouteBuilder.to(SERVICE)
                        .kind(kind)
                        .timeoutMillis(timeoutMillis)
                        .objectives(OBJECTIVE_MILLIS, PAUSE_MILLIS)
                        .attempts(MAXIMUM_ATTEMPTS)
                        .open(organisations.isEmpty())
                        .resumable(kind == RouteKind.STREAM)
                        .configuration(organisations);
        final Random random =
                new Random(1) {
                    @Override
                    public double nextDouble() {
                        if (searchesFail) {
                            throw new IllegalStateException("injected");
                        }
                        return super.nextDouble();
                    }
                };
        return ForwardingEnvironmentBuilder.of(loop, () -> Optional.of(configuration), leader)
                .clock(() -> System.nanoTime() + passedNanos)
                .random(random)
                .dialect(new TestDialect())
                .view(view)
                .retryBudget(0, extraRetries)
                .admission(this::admission)
                .freshMillis(TIMEOUT_MILLIS)
                .observer(new Recorder())
                .build();
    }

    private KeyedAdmission admission(ControlFreshness freshness) {
        final KeyedAdmission admission = KeyedAdmission.of(freshness, 1);
        if (!sharesGranted) {
            return admission;
        }
        final long nowNanos = System.nanoTime();
        final long report = admission.report(nowNanos).reportSequence();
        final List<ShareChange> shares =
                organisations.stream()
                        .map(known -> new ShareChange(known.name(), 0, 1, 1, 1, 1, 0, 0))
                        .toList();
        final long leaseNanos = TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        admission.apply(new ShareGrant(1, 1, 1, report, leaseNanos, 1, shares), nowNanos);
        return admission;
    }

    private String nextName() {
        if (unnamed) {
            return IngressRequest.UNNAMED;
        }
        return namedApart ? "request-" + ++requests : "request";
    }

    private IngressRequest request() {
        return ChatRequestBuilder.plain()
                .named(nextName())
                .model(model)
                .key(KEY)
                .promptParts(promptParts)
                .takingUp(lastEventId, Optional.empty())
                .build();
    }

    /** What the client of one request receives. */
    static final class RecordedAnswer implements ClientAnswer {
        private final StringBuilder received = new StringBuilder();
        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final Semaphore arrivals = new Semaphore(0);
        private RequestForwarding forwarding;

        /** Returns the complete answer, or "refused CODE" or "aborted" with what came before it. */
        String awaitEnd() throws Exception {
            return end.get(AWAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Waits until events have been received the given number of times. */
        void awaitEvents(int number) throws InterruptedException {
            if (!arrivals.tryAcquire(number, AWAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new AssertionError("fewer than " + number + " events");
            }
        }

        boolean hasEnded() {
            return end.isDone();
        }

        @Override
        public void refuse(ResultException refusal) {
            end.complete("refused " + refusal.code());
        }

        @Override
        public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
            end.complete(status.code() + " " + body.toString(StandardCharsets.UTF_8));
            body.release();
        }

        @Override
        public void startStream(HttpResponseStatus status, HttpHeaders headers) {}

        @Override
        public void sendEvents(ByteBuf events) {
            received.append(events.toString(StandardCharsets.UTF_8).replace("\n\n", ";"));
            events.release();
            arrivals.release();
        }

        @Override
        public void endStream() {
            end.complete(received.toString());
        }

        @Override
        public void abort() {
            end.complete("aborted after " + received);
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    private final class Recorder extends IgnoringObserver {
        @Override
        public void sent(
                IngressRequest request, BackendRecord backend, int attempt, int requestsAtBackend) {
            sent.add(backend.backend());
        }

        @Override
        public void retryUnavailable(IngressRequest request, String what) {
            missing.add(what);
        }

        @Override
        public void ended(ForwardingSummary summary) {
            ended.add(summary.code());
            if (requestEndsFail) {
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void attemptFailed(
                IngressRequest request,
                List<Long> traits,
                BackendRecord backend,
                int attempt,
                boolean mayHaveRun,
                String reason) {
            if (attemptReportsFail) {
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void closedIdle(long idleMillis, long limitMillis) {
            if (idleReportsToFail > 0) {
                idleReportsToFail--;
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void leftUnfinished(String requestId, UnfinishedWork work, long ageMillis) {
            unfinished.add(work);
        }
    }

    private static final class NoLeader implements LeaderRequests {
        @Override
        public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
            throw new AssertionError("the requests need no adapter");
        }

        @Override
        public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
            throw new AssertionError("the requests take up no streams");
        }

        @Override
        public void afterNextReport(Runnable action) {
            action.run();
        }
    }

    /**
     * Takes answers without a header named Unsigned as signed, and those with one named Not-Run as
     * not run.
     */
    private final class TestDialect implements UnrelayedDialect {
        @Override
        public IngressRequest decodeRequest(HttpRequest head) {
            return request();
        }

        @Override
        public void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields) {
            if (headersFail) {
                throw new IllegalStateException("injected");
            }
            fields.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
        }

        @Override
        public BackendAnswerHead decodeAnswer(HttpResponse head) {
            return new BackendAnswerHead(
                    Optional.ofNullable(head.headers().get(REQUEST_ID)),
                    !head.headers().contains(UNSIGNED),
                    head.headers().contains(NOT_RUN),
                    Optional.empty(),
                    false,
                    Optional.empty(),
                    NamedLimit.NONE,
                    OptionalDouble.empty());
        }
    }
}
