package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendPathsTest {
    private static final long QUIET_MILLIS = 250;

    private final List<BackendRecord> engines =
            IntStream.rangeClosed(1, 5).mapToObj(number -> record("engines", number, 1)).toList();
    private final BackendRecord desk = record("desk", 9, 1);
    private boolean hasIdleConnection;
    private int closed;
    private long nowMillis = 1_000;
    private BackendPaths paths;

    private static BackendRecord record(String service, int number, long startedMillis) {
        return BackendRecordBuilder.of(service + '-' + number, service)
                .at("10.0.0." + number, 80)
                .running("v1")
                .startedAt(startedMillis)
                .build();
    }

    @BeforeEach
    void create() {
        paths = new BackendPaths(address -> hasIdleConnection, () -> closed++, nowNanos());
        paths.retain(engines);
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void fail(int count) {
        engines.stream().limit(count).forEach(engine -> paths.connectionFailed(engine, nowNanos()));
    }

    private boolean isOpen(BackendRecord backend) {
        return paths.isOpen(backend, nowNanos());
    }

    @Nested
    class OnePath {
        @Test
        void closesWhenConnectionFailsAndOpensWhenOneIsOpened() {
            fail(1);
            assertFalse(isOpen(engines.get(0)));
            assertTrue(isOpen(engines.get(1)));
            assertEquals(1, closed);

            assertTrue(paths.connected(engines.get(0), nowNanos()));

            assertTrue(isOpen(engines.get(0)));
            assertFalse(paths.isAnyClosed());
        }

        /** Guards against giving up old connections that live on while new ones are refused. */
        @Test
        void staysOpenForConnectionsThatLiveOn() {
            fail(1);
            hasIdleConnection = true;
            paths.heard(engines.get(0), nowNanos());
            assertTrue(isOpen(engines.get(0)));

            nowMillis += 1_000;
            paths.heard(engines.get(1), nowNanos());

            assertFalse(isOpen(engines.get(0)));
        }

        @Test
        void isAnotherOneAfterNextStartOfTheBackendServer() {
            fail(1);

            assertTrue(isOpen(record("engines", 1, 2)));
            assertFalse(paths.isAnyClosed());
        }
    }

    @Nested
    class AllPaths {
        @Test
        void areClosedWhenSeveralFailAndNothingIsHeard() {
            nowMillis += QUIET_MILLIS;

            fail(3);

            assertTrue(paths.isCutOff(nowNanos()));
            assertTrue(paths.areAllClosed(engines, nowNanos()));
            assertFalse(isOpen(desk));
        }

        @Test
        void stayOpenWhileAnyBackendServerIsHeard() {
            nowMillis += QUIET_MILLIS;
            paths.heard(engines.get(4), nowNanos());

            fail(4);

            assertFalse(paths.isCutOff(nowNanos()));
            assertFalse(paths.areAllClosed(engines, nowNanos()));
        }

        @Test
        void stayOpenWhenTheGatewayItselfDidNotRun() {
            nowMillis += 5_000;
            paths.restartQuiet(nowNanos());

            fail(3);

            assertFalse(paths.isCutOff(nowNanos()));
        }

        @Test
        void areReportedByServiceOfWhichNoneIsOpen() {
            paths.connectionFailed(desk, nowNanos());

            assertEquals(
                    List.of("desk"),
                    paths.unreachableServices(List.of(engines.get(0), desk), nowNanos()));
        }
    }

    @Nested
    class Probes {
        @Test
        void becomeRarerAndComeAtOnceWhenAnotherPathOpens() {
            fail(1);
            assertEquals(0, due());
            nowMillis += 100;
            assertEquals(1, due());
            fail(1);
            nowMillis += 100;
            assertEquals(0, due());

            paths.probeAll(nowNanos());

            assertEquals(1, due());
        }

        private int due() {
            return paths.dueProbes(engines, nowNanos()).size();
        }
    }
}
