package org.crocushaven.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.backend.BackendCall;
import org.crocushaven.backend.BackendClient;
import org.crocushaven.backend.BackendListener;
import org.crocushaven.backend.BackendRequest;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.caller.CallerResponse;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.Route;
import org.crocushaven.configuration.Service;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.coordination.FleetTable;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.KeyCheck;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that an unexpected exception in a callback ends the request that it belongs to. */
class RequestExecutionTest {
    private static final String SERVICE = "desk";

    private final Deque<CompletableFuture<AtMostOnceGate.Claim>> claims = new ArrayDeque<>();
    private final Deque<BackendListener> sent = new ArrayDeque<>();
    private final List<String> released = new ArrayList<>();
    private final RecordedResponse response = new RecordedResponse();
    private final FleetView fleet =
            FleetView.create(new EmptyMembership(), 1, SystemNanoClock.INSTANCE.nanoTime());
    private final RequestCoordinator coordinator = RequestCoordinator.create(environment());
    private int cancelled;
    private boolean routingFails;
    private boolean reportsFail;

    private ServingEnvironment environment() {
        final long nowNanos = SystemNanoClock.INSTANCE.nanoTime();
        fleet.apply(new FleetTable(1, List.of(assignment("one"), assignment("two"))), nowNanos);
        fleet.apply(summary("one"), nowNanos);
        fleet.apply(summary("two"), nowNanos);
        return new ServingEnvironment(
                "instance",
                "a",
                RequestExecutionTest::configuration,
                KeyCheck.of(null),
                null,
                ShareGate.create(1, SystemNanoClock.INSTANCE),
                new HeldClaims(),
                fleet,
                null,
                new HeldBackends(),
                () -> true,
                new FailingListener(),
                (task, delay) -> task.run(),
                SystemNanoClock.INSTANCE);
    }

    private static DispatchAssignment assignment(String name) {
        return new DispatchAssignment(
                new BackendServer(name, SERVICE, "a", "127.0.0.1", 1, 1, 0, 4, false),
                "instance",
                1,
                false);
    }

    private static BackendSummary summary(String name) {
        return new BackendSummary(
                name, SERVICE, "a", 1, 1, 1, List.of(), List.of(), 4, 0, 0, false);
    }

    private static FleetConfiguration configuration() {
        final Service service =
                new Service(
                        SERVICE,
                        Service.Kind.PLAIN,
                        "",
                        true,
                        List.of(),
                        List.of(
                                new Route("GET", "/read", true, true, 8_000, 0),
                                new Route("POST", "/book", false, true, 8_000, 0)));
        return new FleetConfiguration(
                1, Map.of(SERVICE, service), Map.of(), Map.of(), Map.of(), Set.of());
    }

    private void request(String method, String path) {
        coordinator.handle(
                new CallerRequest(
                        "request",
                        CallerRequest.Kind.PLAIN,
                        SERVICE,
                        method,
                        path,
                        Map.of(),
                        new byte[0],
                        false,
                        0,
                        0,
                        System.nanoTime() + TimeUnit.SECONDS.toNanos(8),
                        3,
                        Optional.empty(),
                        Optional.empty()),
                response);
    }

    private void assertEnded(String expected) {
        assertEquals(expected, response.end);
        assertEquals(0, coordinator.inFlight());
    }

    @Nested
    class BeforeItIsSent {
        @Test
        void requestWhoseRouteThrowsAfterItsClaimIsRefusedAsNotRun() {
            request("POST", "/book");
            routingFails = true;

            claims.remove().complete(new RecordedClaim());

            assertEnded("refused INTERNAL NOT_RUN");
            assertEquals(List.of("released"), released);
        }
    }

    @Nested
    class AfterItWasSent {
        private BackendListener send() {
            request("GET", "/read");
            final BackendListener listener = sent.remove();
            listener.onSending();
            return listener;
        }

        @Test
        void requestWhoseRetryThrowsIsRefusedAsMaybeRun() {
            final BackendListener listener = send();
            routingFails = true;

            listener.onFailure(
                    ResultException.of(ResultCode.BACKEND_SERVER_FAILED, "one", "closed"));

            assertEnded("refused INTERNAL UNKNOWN");
        }

        @Test
        void requestWhoseAnswerCannotBeEndedIsEndedAndItsSendCancelled() {
            final BackendListener listener = send();
            listener.onHead(200, Map.of());
            response.endFails = true;

            listener.onEnd(-1);

            assertEnded("refused INTERNAL UNKNOWN");
            assertEquals(1, cancelled);
        }

        @Test
        void answerWhoseReportThrowsIsCountedAsEndedAndNotCancelled() {
            final BackendListener listener = send();
            listener.onHead(200, Map.of());
            reportsFail = true;

            listener.onEnd(-1);

            assertEnded("answered");
            assertEquals(0, cancelled);
        }
    }

    @Nested
    class WhenTheInstanceEnds {
        @Test
        void requestThatWaitsForItsClaimIsRefusedAsNotRun() {
            request("POST", "/book");

            response.instanceEnding.run();

            assertEnded("refused STOPPING NOT_RUN");
        }

        @Test
        void requestThatWasSentIsRefusedAsMaybeRunAndItsSendCancelled() {
            request("GET", "/read");
            sent.remove().onSending();

            response.instanceEnding.run();

            assertEnded("refused STOPPED_DURING_REQUEST UNKNOWN");
            assertEquals(1, cancelled);
        }

        @Test
        void bookingThatWasSentIsRefusedAsMaybeRunAndNotCancelled() {
            request("POST", "/book");
            claims.remove().complete(new RecordedClaim());
            sent.remove().onSending();

            response.instanceEnding.run();

            assertEnded("refused STOPPED_DURING_REQUEST UNKNOWN");
            assertEquals(0, cancelled);
        }
    }

    private static final class RecordedResponse implements CallerResponse {
        private String end = "none";
        private boolean endFails;
        private Runnable instanceEnding;

        @Override
        public void begin(int status, Map<String, List<String>> headers) {}

        @Override
        public void write(byte[] bytes) {}

        @Override
        public void end() {
            if (endFails) {
                throw new IllegalStateException("injected");
            }
            end = "answered";
        }

        @Override
        public void refuse(ResultException refusal) {
            end = "refused " + refusal.code() + ' ' + refusal.execution();
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onWritable(Runnable action) {}

        @Override
        public void onCallerGone(Runnable action) {}

        @Override
        public void onInstanceEnding(Runnable action) {
            instanceEnding = action;
        }
    }

    private final class FailingListener implements ServingListener {
        @Override
        public void routed(RouteDecisionEvent decision) {
            if (routingFails) {
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void answered(RequestSummary summary) {
            failReport();
        }

        @Override
        public void refused(RequestSummary summary, ResultException failure) {
            failReport();
        }

        private void failReport() {
            if (reportsFail) {
                throw new IllegalStateException("injected");
            }
        }
    }

    private final class HeldClaims implements AtMostOnceGate {
        @Override
        public CompletableFuture<Claim> claim(
                String organisation, String service, CallerRequest request) {
            final CompletableFuture<Claim> held = new CompletableFuture<>();
            claims.add(held);
            return held;
        }
    }

    private final class RecordedClaim implements AtMostOnceGate.Claim {
        @Override
        public String idempotencyKey() {
            return "key";
        }

        @Override
        public StoredAnswer storedAnswer() {
            return null;
        }

        @Override
        public CompletableFuture<Void> startSending() {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> complete(StoredAnswer answer) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void release() {
            released.add("released");
        }

        @Override
        public void abandon() {
            released.add("abandoned");
        }
    }

    private final class HeldBackends implements BackendClient {
        @Override
        public BackendCall send(
                BackendServer server, BackendRequest request, BackendListener listener) {
            sent.add(listener);
            return new BackendCall() {
                @Override
                public void cancel() {
                    cancelled++;
                }

                @Override
                public void setReading(boolean reading) {}
            };
        }

        @Override
        public CompletableFuture<Void> load(
                BackendServer server, AdapterVersion version, long fencingNumber) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> unload(
                BackendServer server, AdapterVersion version, long fencingNumber) {
            throw new UnsupportedOperationException();
        }
    }

    private static final class EmptyMembership implements MembershipView {
        @Override
        public InstanceRecord self() {
            throw new UnsupportedOperationException();
        }

        @Override
        public List<InstanceRecord> instances() {
            return List.of();
        }

        @Override
        public Optional<InstanceRecord> find(String name) {
            return Optional.empty();
        }
    }
}
