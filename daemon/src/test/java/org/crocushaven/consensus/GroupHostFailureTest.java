package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.storage.FaultyDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GroupHostFailureTest {
    private static final long TIMEOUT_SECONDS = 5;
    private static final int REPEATED_PROPOSALS = 100;

    private final FaultyDisk disk = new FaultyDisk();

    @TempDir private Path folder;
    private GroupHost host;

    @AfterEach
    void stop() {
        disk.setFull(false);
        host.close();
    }

    private void startOnlyVoter(StateMachine machine) {
        host =
                GroupHost.start(
                        GroupSettings.of(
                                0,
                                "a",
                                List.of("a"),
                                FormationRule.MAJORITY,
                                ReplicaTiming.FAST_FAILOVER),
                        GroupRouter.create(new MemoryNetwork().endpoint("a")),
                        disk.wrap(folder),
                        machine,
                        SystemNanoClock.INSTANCE,
                        1);
        await("it does not lead", host::holdsLeaderLease);
    }

    private static void await(String failure, BooleanSupplier condition) {
        final long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS),
                    failure);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }

    private void assertRefused(CompletableFuture<byte[]> proposal) {
        assertThrows(
                ExecutionException.class, () -> proposal.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Nested
    class FullDisk {
        // Guards against: calls to a replica whose files did not close were never answered.
        @Test
        void failedReplicaRefusesProposalsAlsoWhereItsFilesDoNotClose() {
            startOnlyVoter(new RecordingMachine());
            disk.setKind(FaultyDisk.Kind.WRITES_AND_CLOSING);
            disk.setFull(true);

            assertRefused(host.propose(new byte[1]));
            await("it does not fail", host::hasFailed);
            for (int number = 0; number < REPEATED_PROPOSALS; number++) {
                assertRefused(host.propose(new byte[1]));
            }
        }
    }

    @Nested
    class ShortOfMemory {
        // Guards against: a replica that an error ended was never opened again.
        @Test
        void replicaThatAnErrorEndsHasFailed() {
            startOnlyVoter(new StateMachineWithoutMemory());

            assertRefused(host.propose(new byte[1]));
            await("it does not fail", host::hasFailed);
        }
    }

    /** A state machine for which no memory is left. */
    private static final class StateMachineWithoutMemory implements StateMachine {
        @Override
        public byte[] apply(long index, byte[] command) {
            throw new OutOfMemoryError("no memory in this test");
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(long index, byte[] snapshot) {
            throw new UnsupportedOperationException();
        }
    }
}
