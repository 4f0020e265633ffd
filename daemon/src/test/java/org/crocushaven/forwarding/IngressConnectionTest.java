package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressLimits;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.ModelReference;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IngressConnectionTest {
    private static final String SERVICE = "engines";
    private static final String REQUEST =
            "POST /chat/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n";
    private static final long TIMEOUT_MILLIS = 10_000;

    /** Answers of the leader that the requests wait for, in the order of the requests. */
    private final Deque<CompletableFuture<AdapterGrant>> grants = new ArrayDeque<>();

    private final Deque<ResultCode> unreadable = new ArrayDeque<>();
    private int faults;
    private RuntimeException decodingFault;
    private RuntimeException configurationFault;
    private long nowNanos = System.nanoTime();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final IngressServer server = new IngressServer(environment(channel.eventLoop()));
    private final ReadActivityHandler activity = new ReadActivityHandler(() -> nowNanos);
    private final LimitsInForce limits = LimitsInForce.of(() -> IngressLimits.DEFAULT);
    private final IngressConnection connection = new IngressConnection(server, activity, limits);

    IngressConnectionTest() {
        channel.pipeline()
                .addLast(activity)
                .addLast(limits)
                .addLast(limits.decoder())
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    private void send(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    /** Returns all that was written to the client since the last call. */
    private String received() {
        channel.runPendingTasks();
        final StringBuilder text = new StringBuilder();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            text.append(next.toString(StandardCharsets.US_ASCII));
            next.release();
            next = channel.readOutbound();
        }
        return text.toString();
    }

    private void refuseNext() {
        grants.poll()
                .completeExceptionally(
                        ResultException.of(ResultCode.NO_DISPATCHER, "the leader is away"));
    }

    private IngressConfiguration orFault(IngressConfiguration configuration) {
        if (configurationFault != null) {
            throw configurationFault;
        }
        return configuration;
    }

    private ForwardingEnvironment environment(EventLoop loop) {
        final IngressConfiguration configuration =
                ChatRouteBuilder.to(SERVICE).timeoutMillis(TIMEOUT_MILLIS).configuration();
        return ForwardingEnvironmentBuilder.of(
                        loop, () -> Optional.of(orFault(configuration)), new HeldGrants())
                .clock(() -> nowNanos)
                .dialect(new OneRequestDialect())
                .observer(new FaultRecorder())
                .build();
    }

    @Nested
    class WhileAnAnswerIsDue {
        @Test
        void malformedNextRequestDoesNotCutIt() {
            send(REQUEST);
            send("no request at all\r\n\r\n");
            assertTrue(channel.isOpen());

            refuseNext();

            final String answers = received();
            assertTrue(answers.startsWith("HTTP/1.1 503 "), answers);
            assertTrue(answers.contains("HTTP/1.1 400 "), answers);
            assertFalse(channel.isOpen());
            assertEquals(List.of(ResultCode.MALFORMED_REQUEST), List.copyOf(unreadable));
        }

        @Test
        void incompleteNextRequestDoesNotCutIt() {
            send(REQUEST);
            send("POST /chat/x HTTP/1.1\r\nHo");
            nowNanos +=
                    TimeUnit.MILLISECONDS.toNanos(IngressLimits.DEFAULT.headerTimeoutMillis() + 1);
            connection.checkTimeouts(nowNanos);
            assertTrue(channel.isOpen());

            refuseNext();

            final String answers = received();
            assertTrue(answers.startsWith("HTTP/1.1 503 "), answers);
            assertTrue(answers.contains("HTTP/1.1 408 "), answers);
            assertFalse(channel.isOpen());
        }

        @Test
        void wholeRequestsBeforeTheMalformedOneAreAnswered() {
            send(REQUEST + REQUEST + "no request at all\r\n\r\n");

            refuseNext();
            refuseNext();

            assertEquals(3, received().split("HTTP/1.1 ", -1).length - 1);
        }
    }

    @Nested
    class AfterAnUnexpectedException {
        @Test
        void requestThatCannotBeDecodedIsAnsweredAndTheConnectionStays() {
            decodingFault = new IllegalStateException("injected");
            send(REQUEST);

            assertTrue(received().startsWith("HTTP/1.1 500 "));
            assertEquals(1, faults);
            assertTrue(channel.isOpen());
        }

        @Test
        void requestThatCannotBeAdmittedIsAnswered() {
            configurationFault = new IllegalStateException("injected");
            send(REQUEST);

            assertTrue(received().startsWith("HTTP/1.1 500 "));
            assertEquals(1, faults);
        }

        @Test
        void requestWhoseTargetCannotBeFoundIsAnsweredAtOnce() {
            send(REQUEST);
            grants.poll().complete(new AdapterGrant(null, 0, 1));

            assertTrue(received().startsWith("HTTP/1.1 500 "), "held to its time limit");
        }
    }

    /** Leaves each request for an adapter to the test. */
    private final class HeldGrants implements LeaderRequests {
        @Override
        public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
            final CompletableFuture<AdapterGrant> held = new CompletableFuture<>();
            grants.add(held);
            return held;
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

    private final class FaultRecorder extends IgnoringObserver {
        @Override
        public void refusedBeforeDecoding(ResultCode code, String detail, boolean answerUnderWay) {
            unreadable.add(code);
        }

        @Override
        public void faulted(Throwable fault, boolean answerUnderWay) {
            faults++;
        }
    }

    /** Decodes every request as the same request for an adapter. */
    private final class OneRequestDialect implements UnrelayedDialect {
        @Override
        public IngressRequest decodeRequest(HttpRequest head) {
            if (decodingFault != null) {
                throw decodingFault;
            }
            return new IngressRequest(
                    "request",
                    head.method(),
                    head.uri(),
                    "host",
                    head.uri(),
                    head.headers(),
                    OptionalLong.empty(),
                    Optional.empty(),
                    Optional.of(new ModelReference("base", "a1")),
                    Optional.empty(),
                    List.of(),
                    Optional.empty(),
                    Optional.empty(),
                    OptionalInt.empty());
        }

        @Override
        public void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields) {}

        @Override
        public BackendAnswerHead decodeAnswer(HttpResponse head) {
            throw new UnsupportedOperationException();
        }
    }
}
