package org.crocushaven.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendDirectoryTest {
    private final List<String> events = new ArrayList<>();
    private long nowNanos;
    private BackendDirectory directory;

    @BeforeEach
    void create() {
        directory = BackendDirectory.of(() -> nowNanos, "model"::equals);
        directory.addListener(new Recorder());
        directory.register(server(5));
    }

    private static BackendServer server(long incarnation) {
        return new BackendServer("e1", "model", "a", "127.0.0.1", 9_001, incarnation, 8, 16, true);
    }

    private static LoadReport report(long incarnation, long sequence, boolean draining) {
        final List<AdapterVersion> loaded = List.of(AdapterVersion.of("a", "1"));
        return new LoadReport(incarnation, sequence, 1, 0, loaded, List.of(), draining);
    }

    private static void assertRefused(ResultCode code, Runnable announcement) {
        assertEquals(code, assertThrows(ResultException.class, announcement::run).code());
    }

    private void advance(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private final class Recorder implements BackendDirectoryListener {
        @Override
        public void registered(BackendServer server) {
            events.add("registered " + server.incarnation());
        }

        @Override
        public void reported(BackendServer server, LoadReport report) {
            events.add("reported " + report.sequence());
        }

        @Override
        public void draining(BackendServer server) {
            events.add("draining " + server.incarnation());
        }

        @Override
        public void left(BackendServer server) {
            events.add("left " + server.incarnation());
        }

        @Override
        public void lost(BackendServer server) {
            events.add("lost " + server.incarnation());
        }
    }

    @Nested
    class Incarnations {
        @Test
        void olderOnesAreRefused() {
            assertRefused(ResultCode.ANNOUNCEMENT_STALE, () -> directory.register(server(4)));
            assertRefused(
                    ResultCode.ANNOUNCEMENT_STALE,
                    () -> directory.recordHeartbeat("e1", report(4, 1, false)));
            assertRefused(ResultCode.ANNOUNCEMENT_STALE, () -> directory.remove("e1", 4));
            assertEquals(List.of("registered 5"), events);
        }

        @Test
        void newerOnesReplaceStateOfOlderOnes() {
            directory.recordHeartbeat("e1", report(5, 9, true));
            directory.register(server(6));
            assertTrue(directory.report("e1").isEmpty());
            assertEquals(List.of(server(6)), directory.usable());
            directory.recordHeartbeat("e1", report(6, 1, false));
            assertEquals(
                    List.of(
                            "registered 5",
                            "reported 9",
                            "draining 5",
                            "registered 6",
                            "reported 1"),
                    events);
        }

        @Test
        void unknownOnesMustRegisterFirst() {
            assertRefused(
                    ResultCode.REGISTRATION_REQUIRED,
                    () -> directory.recordHeartbeat("e1", report(6, 1, false)));
            assertRefused(ResultCode.REGISTRATION_REQUIRED, () -> directory.startDraining("e2", 1));
        }

        @Test
        void mayRegisterAgainOnlyIfUnchanged() {
            directory.register(server(5));
            assertEquals(List.of("registered 5"), events);
            final BackendServer moved =
                    new BackendServer("e1", "model", "b", "127.0.0.1", 9_002, 5, 8, 16, true);
            assertRefused(ResultCode.ANNOUNCEMENT_INVALID, () -> directory.register(moved));
        }

        @Test
        void ofUnpublishedServicesAreRefused() {
            final BackendServer other =
                    new BackendServer("e2", "other", "a", "127.0.0.1", 9_001, 1, 8, 16, true);
            assertRefused(ResultCode.ANNOUNCEMENT_UNKNOWN_SERVICE, () -> directory.register(other));
        }
    }

    @Nested
    class Heartbeats {
        @Test
        void thatAreRepeatedOrOlderAreRefused() {
            directory.recordHeartbeat("e1", report(5, 2, false));
            for (final long sequence : List.of(1L, 2L)) {
                assertRefused(
                        ResultCode.ANNOUNCEMENT_STALE,
                        () -> directory.recordHeartbeat("e1", report(5, sequence, false)));
            }
        }

        @Test
        void thatAreMissingMakeServerUnusable() {
            advance(2_000);
            assertEquals(1, directory.usable().size());
            advance(1);
            assertEquals(List.of(), directory.usable());
            directory.markLostServers();
            directory.markLostServers();
            directory.recordHeartbeat("e1", report(5, 1, false));
            assertEquals(List.of(server(5)), directory.usable());
            assertEquals(List.of("registered 5", "lost 5", "reported 1"), events);
        }
    }

    @Nested
    class DrainingAndLeaving {
        @Test
        void drainingServerGetsNoNewWork() {
            directory.startDraining("e1", 5);
            directory.startDraining("e1", 5);
            directory.recordHeartbeat("e1", report(5, 1, false));
            assertEquals(List.of(), directory.usable());
            assertEquals(List.of("registered 5", "draining 5", "reported 1"), events);
        }

        @Test
        void leavingRemovesServer() {
            directory.remove("e1", 5);
            assertTrue(directory.server("e1").isEmpty());
            assertEquals(List.of("registered 5", "left 5"), events);
        }
    }
}
