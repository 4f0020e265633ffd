package org.crocushaven.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.LoadGrant;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.backend.BackendCall;
import org.crocushaven.backend.BackendClient;
import org.crocushaven.backend.BackendListener;
import org.crocushaven.backend.BackendRequest;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherHostTest {
    private static final AdapterVersion VERSION = AdapterVersion.of("permit", "1");
    private static final BackendServer FIRST_START = server(9_001, 1);
    private static final BackendServer SECOND_START = server(9_002, 2);

    private final FakeTransport transport = new FakeTransport();
    private final FakeEngines engines = new FakeEngines();
    private final List<String> events = new ArrayList<>();
    private boolean sessionIsValid = true;
    private long nowNanos = 1;
    private final DispatcherHost host =
            DispatcherHost.create(
                    transport,
                    engines,
                    FleetConfiguration::empty,
                    () -> sessionIsValid,
                    () -> Optional.of("leader"),
                    new EventRecorder(),
                    () -> nowNanos);

    DispatcherHostTest() {
        host.attach();
    }

    private static BackendServer server(int port, long incarnation) {
        return new BackendServer(
                "engine", "service", "a", "127.0.0.1", port, incarnation, 4, 8, true);
    }

    private static LoadReport report(long incarnation, long sequence) {
        return new LoadReport(incarnation, sequence, 0, 0, List.of(), List.of(), false);
    }

    private static DispatchAssignment assignment(BackendServer server, long fencingNumber) {
        return new DispatchAssignment(server, "self", fencingNumber, false);
    }

    private CompletableFuture<? extends Message> requestPermit(String requestId) {
        return transport.deliver(
                "entry",
                new PermitAsk(
                        "engine",
                        requestId,
                        "village",
                        1,
                        Optional.of(VERSION),
                        10,
                        3,
                        TimeUnit.SECONDS.toNanos(30),
                        0));
    }

    private void advanceClock(long seconds) {
        nowNanos += TimeUnit.SECONDS.toNanos(seconds);
    }

    @Nested
    class Restart {
        @Test
        void sendsOrdersToNewAddressOfBackendServer() {
            host.apply(List.of(assignment(FIRST_START, 7)));
            advanceClock(10);
            host.handleReport(SECOND_START, report(2, 1));
            requestPermit("request");

            assertTrue(transport.sent.stream().anyMatch(LoadRequest.class::isInstance));
            transport.deliver("leader", new LoadGrant("self", "engine", VERSION));

            assertEquals(List.of("load permit@1 at 9002 under 7"), engines.orders);
        }
    }

    @Nested
    class Session {
        @Test
        void refusesPermitRequestsWhileInvalid() {
            host.apply(List.of(assignment(FIRST_START, 7)));
            sessionIsValid = false;

            final PermitAnswer answer = (PermitAnswer) requestPermit("request").join();

            assertEquals(ResultCode.NOT_DISPATCHER.number(), answer.code());
        }

        @Test
        void refusesPendingPermitRequestsWhenLost() {
            host.apply(List.of(assignment(FIRST_START, 7)));
            host.handleReport(FIRST_START, report(1, 1));
            final CompletableFuture<? extends Message> answer = requestPermit("request");
            assertFalse(answer.isDone());

            host.dropAll();

            assertEquals(ResultCode.NOT_DISPATCHER.number(), ((PermitAnswer) answer.join()).code());
            assertEquals(List.of("begin engine 7", "end engine 7"), events);
        }
    }

    @Nested
    class Availability {
        @Test
        void endsWhenNoReportsArrive() {
            host.apply(List.of(assignment(FIRST_START, 7)));
            host.handleReport(FIRST_START, report(1, 1));
            advanceClock(3);

            final PermitAnswer answer = (PermitAnswer) requestPermit("request").join();

            assertEquals(ResultCode.NO_BACKEND_SERVER.number(), answer.code());
        }

        @Test
        void endsOnDrainAndIsBroadcast() {
            host.apply(List.of(assignment(FIRST_START, 7)));
            host.handleReport(FIRST_START, report(1, 1));
            host.drain("engine");
            final List<Boolean> draining = new ArrayList<>();

            host.tick(summary -> draining.add(summary.draining()));

            assertEquals(List.of(true), draining);
        }
    }

    private static final class FakeTransport implements PeerTransport {
        private final Map<Class<?>, MessageHandler<Message>> handlers = new HashMap<>();
        private final List<Message> sent = new ArrayList<>();

        @Override
        public void send(String instance, Message message) {
            sent.add(message);
        }

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            return new CompletableFuture<>();
        }

        @Override
        @SuppressWarnings("unchecked")
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
            handlers.put(type, (MessageHandler<Message>) handler);
        }

        private CompletableFuture<? extends Message> deliver(String sender, Message message) {
            return handlers.get(message.getClass()).handle(sender, message);
        }
    }

    private static final class FakeEngines implements BackendClient {
        private final List<String> orders = new ArrayList<>();

        @Override
        public BackendCall send(
                BackendServer server, BackendRequest request, BackendListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> load(
                BackendServer server, AdapterVersion version, long fencingNumber) {
            orders.add("load " + version + " at " + server.port() + " under " + fencingNumber);
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> unload(
                BackendServer server, AdapterVersion version, long fencingNumber) {
            orders.add("unload " + version + " at " + server.port() + " under " + fencingNumber);
            return new CompletableFuture<>();
        }
    }

    private final class EventRecorder implements DispatchListener {
        @Override
        public void dispatchingStarted(DispatchAssignment assignment) {
            events.add("begin " + assignment.server().name() + " " + assignment.fencingNumber());
        }

        @Override
        public void dispatchingEnded(String backendServer, long fencingNumber) {
            events.add("end " + backendServer + " " + fencingNumber);
        }

        @Override
        public void loadEnded(
                BackendServer server, AdapterVersion version, ResultCode code, long nanos) {
            events.add("loaded " + version);
        }

        @Override
        public void unloadEnded(BackendServer server, AdapterVersion version, ResultCode code) {
            events.add("evicted " + version);
        }
    }
}
