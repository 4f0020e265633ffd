package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestForwardingTest {
    private static final String SERVICE = "engines";
    private static final String LEAVING = "leaving";
    private static final String STAYING = "staying";
    private static final long LOAD_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final GatewayBackends view = new GatewayBackends(new Random(1));
    private final Deque<AdapterGrant> grants = new ArrayDeque<>();
    private final List<AdapterRequest> adapterRequests = new ArrayList<>();
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<ResultCode> refusals = new LinkedBlockingQueue<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private BackendRecord backend(String name, BackendState state) {
        return BackendRecordBuilder.of(name, SERVICE)
                .atPort(server.getLocalPort())
                .inState(state)
                .build();
    }

    private void update(BackendRecord... changed) {
        update(Arrays.asList(changed), List.of());
    }

    private void update(List<BackendRecord> changed, List<String> gone) {
        view.apply(
                GatewayUpdateBuilder.ofBackends(changed, gone),
                System.nanoTime(),
                System.nanoTime());
    }

    private ForwardingEnvironment environment() {
        final IngressConfiguration configuration =
                ChatRouteBuilder.to(SERVICE).timeoutMillis(TIMEOUT_MILLIS).configuration();
        return ForwardingEnvironmentBuilder.of(loop, configuration, new QueuedGrants())
                .dialect(new PlainDialect())
                .view(view)
                .observer(new SendRecorder())
                .build();
    }

    private static IngressRequest request() {
        return ChatRequestBuilder.of("base", "a1").build();
    }

    private void startRequestThen(Runnable change) {
        loop.execute(
                () -> {
                    update(
                            backend(LEAVING, BackendState.READY),
                            backend(STAYING, BackendState.READY));
                    RequestForwarding.start(
                            environment(), request(), RequestBody.empty(), new RefusalRecorder());
                    change.run();
                });
    }

    @Test
    void requestThatWaitsForAdapterIsNotSentToBackendServerThatLeftMeanwhile() throws Exception {
        grants.add(new AdapterGrant(LEAVING, LOAD_MILLIS, 1));
        grants.add(new AdapterGrant(STAYING, LOAD_MILLIS, 1));

        startRequestThen(() -> update(backend(LEAVING, BackendState.DRAINING)));

        assertEquals(STAYING, sent.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(List.of(LEAVING), adapterRequests.get(1).excludedBackends());
    }

    @Test
    void requestThatWaitsForAdapterIsNotSentToBackendServerThatIsGone() throws Exception {
        grants.add(new AdapterGrant(LEAVING, LOAD_MILLIS, 1));
        grants.add(new AdapterGrant(STAYING, LOAD_MILLIS, 1));

        startRequestThen(() -> update(List.of(), List.of(LEAVING)));

        assertEquals(STAYING, sent.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void requestWhoseOnlyBackendServerLeftIsRefusedAsNotRun() throws Exception {
        grants.add(new AdapterGrant(LEAVING, LOAD_MILLIS, 1));
        grants.add(AdapterGrant.none(LOAD_MILLIS));

        startRequestThen(() -> update(backend(LEAVING, BackendState.DRAINING)));

        assertEquals(ResultCode.QUEUE_FULL, refusals.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(0, sent.size());
    }

    /** Answers each request for an adapter with the next grant. */
    private final class QueuedGrants implements LeaderRequests {
        @Override
        public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
            adapterRequests.add(request);
            return CompletableFuture.completedFuture(grants.remove());
        }

        @Override
        public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
            throw new AssertionError("the requests take up no streams");
        }

        @Override
        public void afterNextReport(Runnable action) {
            throw new AssertionError("the route needs no tokens");
        }
    }

    /** Records to which backend servers requests are sent. */
    private final class SendRecorder extends IgnoringObserver {
        @Override
        public void sent(
                IngressRequest request, BackendRecord backend, int attempt, int requestsAtBackend) {
            sent.add(backend.backend());
        }
    }

    /** Records refusals. */
    private final class RefusalRecorder implements ClientAnswer {
        @Override
        public void refuse(ResultException refusal) {
            refusals.add(refusal.code());
        }

        @Override
        public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
            body.release();
        }

        @Override
        public void startStream(HttpResponseStatus status, HttpHeaders headers) {}

        @Override
        public void sendEvents(ByteBuf events) {
            events.release();
        }

        @Override
        public void endStream() {}

        @Override
        public void abort() {}

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    /** Adds no headers; no answer is decoded in these tests. */
    private static final class PlainDialect implements UnrelayedDialect {
        @Override
        public IngressRequest decodeRequest(HttpRequest head) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields) {}

        @Override
        public BackendAnswerHead decodeAnswer(HttpResponse head) {
            throw new UnsupportedOperationException();
        }
    }
}
