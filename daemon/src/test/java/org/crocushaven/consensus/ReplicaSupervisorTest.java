package org.crocushaven.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Test;

class ReplicaSupervisorTest {
    private final List<FakeReplica> opened = new ArrayList<>();
    private boolean diskFails;
    private final ReplicaSupervisor<FakeReplica> supervisor = ReplicaSupervisor.open(this::open);

    private FakeReplica open() {
        if (diskFails) {
            throw ResultException.of(ResultCode.DATA_FOLDER_IO, "folder", "disk full");
        }
        final FakeReplica replica = new FakeReplica();
        opened.add(replica);
        return replica;
    }

    private void checkAt(long millis) {
        supervisor.reopenIfFailed(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void keepsRunningReplicaOpen() {
        checkAt(0);
        checkAt(10_000);

        assertEquals(1, opened.size());
    }

    @Test
    void closesAndReopensFailedReplica() {
        opened.get(0).failed = true;
        checkAt(0);
        assertTrue(opened.get(0).closed);
        checkAt(100);
        assertEquals(1, opened.size());

        checkAt(1_000);
        assertEquals(2, opened.size());
        assertSame(opened.get(1), supervisor.replica());
    }

    @Test
    void retriesReopeningUntilDiskAcceptsWrites() {
        opened.get(0).failed = true;
        diskFails = true;
        checkAt(0);
        checkAt(1_000);
        checkAt(2_000);
        assertEquals(1, opened.size());

        diskFails = false;
        checkAt(3_000);
        assertFalse(supervisor.replica().hasFailed());
    }

    private static final class FakeReplica implements ReopenableReplica {
        private boolean failed;
        private boolean closed;

        @Override
        public boolean hasFailed() {
            return failed;
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
