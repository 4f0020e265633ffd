package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.WeightedService;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StreamContinuationTest {
    private static final String SERVICE = "engines";
    private static final String OTHER_SERVICE = "others";
    private static final String BEGUN = "begun";
    private static final StreamOrigin ORIGIN = new StreamOrigin(SERVICE, "v1");
    private static final long TIMEOUT_MILLIS = 8_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final BegunStreamMemory streams = new BegunStreamMemory();
    private final Deque<CompletableFuture<StreamOriginAnswer>> answers = new ArrayDeque<>();
    private final List<StreamOriginQuery> queries = new ArrayList<>();
    private RequestAdmission admission;

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static BackendRecord backend(String service, String softwareVersion) {
        return BackendRecordBuilder.of("backend", service).running(softwareVersion).build();
    }

    private static IngressRequest request(Optional<String> lastEvent, Optional<String> resumes) {
        return ChatRequestBuilder.plain().takingUp(lastEvent, resumes).build();
    }

    private static IngressConfiguration configuration(List<WeightedService> targets) {
        return ChatRouteBuilder.to(targets)
                .timeoutMillis(TIMEOUT_MILLIS)
                .attempts(2)
                .resumable(true)
                .configuration();
    }

    private StreamContinuation continuation(IngressRequest request, WeightedService... targets) {
        final ForwardingEnvironment environment =
                ForwardingEnvironmentBuilder.of(
                                loop, configuration(List.of(targets)), new ScriptedLeader())
                        .freshMillis(TIMEOUT_MILLIS)
                        .streams(streams)
                        .build();
        admission = new RequestAdmission(environment, request);
        admission.identify(System.nanoTime());
        return new StreamContinuation(environment, request, admission);
    }

    private StreamContinuation takeUp() {
        return continuation(
                request(Optional.of("3"), Optional.of(BEGUN)), new WeightedService(SERVICE, 1));
    }

    private void answer(Optional<StreamOrigin> origin) {
        answers.add(CompletableFuture.completedFuture(new StreamOriginAnswer(origin)));
    }

    private void fail() {
        answers.add(
                CompletableFuture.failedFuture(
                        ResultException.of(ResultCode.NO_DISPATCHER, SERVICE)));
    }

    private static void await(StreamContinuation continuation) {
        continuation.prepare().orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private static ResultException refusalOf(StreamContinuation continuation) {
        return (ResultException)
                assertThrows(CompletionException.class, () -> await(continuation)).getCause();
    }

    @Test
    void requestThatBeginsAsksNobodyAndMayRunAnywhere() {
        final StreamContinuation begins =
                continuation(
                        request(Optional.empty(), Optional.empty()),
                        new WeightedService(SERVICE, 1));

        await(begins);

        assertTrue(begins.allows(backend(SERVICE, "v2")));
        assertEquals(List.of(), queries);
    }

    @Test
    void firstEventFixesTheVersionAndIsRememberedUnderBothIdentifiers() {
        final StreamContinuation goesOn = takeUp();
        goesOn.firstEventReceived(backend(SERVICE, "v1"));

        assertTrue(!goesOn.allows(backend(SERVICE, "v2")));
        assertEquals(Optional.of(ORIGIN), streams.find("request"));
        assertEquals(Optional.of(ORIGIN), streams.find(BEGUN));
    }

    @Nested
    class TakenUp {
        @Test
        void ownStreamGoesOnWithoutQuestion() {
            streams.recordBegun(BEGUN, ORIGIN, 0);
            final StreamContinuation goesOn = takeUp();

            await(goesOn);

            assertTrue(goesOn.allows(backend(SERVICE, "v1")));
            assertTrue(!goesOn.allows(backend(SERVICE, "v2")));
            assertEquals(List.of(), queries);
        }

        @Test
        void leaderIsAskedAgainForTheReportThatIsUnderWay() {
            answer(Optional.empty());
            answer(Optional.of(ORIGIN));
            final StreamContinuation goesOn = takeUp();

            await(goesOn);

            assertTrue(!goesOn.allows(backend(SERVICE, "v2")));
            assertEquals(
                    new StreamOriginQuery(StreamIdentifier.of(BEGUN), SERVICE), queries.get(1));
        }

        @Test
        void unknownStreamIsRefusedAsNotRunWithRetryDelay() {
            answer(Optional.empty());
            answer(Optional.empty());

            final ResultException refusal = refusalOf(takeUp());

            assertEquals(ResultCode.SOFTWARE_VERSION_UNKNOWN, refusal.code());
            assertEquals(Execution.NOT_RUN, refusal.execution());
            assertTrue(refusal.retryAfter().isPresent());
        }

        @Test
        void streamIsRefusedWhenNoLeaderAnswers() {
            fail();
            fail();

            assertEquals(ResultCode.SOFTWARE_VERSION_UNKNOWN, refusalOf(takeUp()).code());
        }

        @Test
        void streamIsNotHeldWhenTheSecondQuestionCannotBeAsked() {
            answer(Optional.empty());

            final CompletionException refusal =
                    assertThrows(CompletionException.class, () -> await(takeUp()));

            assertEquals(NoSuchElementException.class, refusal.getCause().getClass());
        }

        @Test
        void unnamedStreamIsAskedForOnce() {
            answer(Optional.empty());
            final StreamContinuation unnamed =
                    continuation(
                            request(Optional.of("3"), Optional.empty()),
                            new WeightedService(SERVICE, 1));

            assertEquals(ResultCode.SOFTWARE_VERSION_UNKNOWN, refusalOf(unnamed).code());
            assertEquals(List.of(new StreamOriginQuery(StreamIdentifier.NONE, SERVICE)), queries);
        }

        @Test
        void streamStaysAtItsServiceWhileTheRouteLeadsThere() {
            streams.recordBegun(BEGUN, new StreamOrigin(OTHER_SERVICE, "v1"), 0);
            await(
                    continuation(
                            request(Optional.of("3"), Optional.of(BEGUN)),
                            new WeightedService(SERVICE, 1_000),
                            new WeightedService(OTHER_SERVICE, 1)));
            assertEquals(OTHER_SERVICE, admission.service());

            await(takeUp());
            assertEquals(SERVICE, admission.service());
        }
    }

    /** Answers each query with the next scripted answer. */
    private final class ScriptedLeader implements LeaderRequests {
        @Override
        public CompletableFuture<StreamOriginAnswer> findStreamOrigin(StreamOriginQuery query) {
            queries.add(query);
            return answers.remove();
        }

        @Override
        public CompletableFuture<AdapterGrant> requestAdapter(AdapterRequest request) {
            throw new AssertionError("the requests need no adapter");
        }

        @Override
        public void afterNextReport(Runnable action) {
            throw new AssertionError("the route needs no tokens");
        }
    }
}
