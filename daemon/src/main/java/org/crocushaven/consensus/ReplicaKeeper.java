package org.crocushaven.consensus;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultException;

/**
 * Keeps a replica open over failures of its disk.
 *
 * <p>What a replica believed when a write failed is not what its disk holds; it is closed, and
 * opened again from the disk until that succeeds. Used from one thread.
 *
 * @param <R> the kind of replica
 */
public final class ReplicaKeeper<R extends ReopenableReplica> {
    /** Time between two attempts; a disk that refuses writes does so for seconds. */
    private static final long REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final Supplier<R> opener;
    private R replica;
    private long failedNanos;
    private boolean closed;

    private ReplicaKeeper(Supplier<R> opener) {
        this.opener = opener;
        this.replica = opener.get();
    }

    /** Opens a replica; a failure of the first attempt is thrown. */
    public static <R extends ReopenableReplica> ReplicaKeeper<R> open(Supplier<R> opener) {
        return new ReplicaKeeper<>(opener);
    }

    /** Returns the replica opened last, which may have failed. */
    public R replica() {
        return replica;
    }

    /** Opens the replica again when it has failed and the time has come. */
    public void check(long nowNanos) {
        if (!replica.hasFailed()) {
            return;
        }
        if (!closed) {
            replica.close();
            closed = true;
            failedNanos = nowNanos;
            return;
        }
        if (nowNanos - failedNanos < REOPEN_NANOS) {
            return;
        }
        failedNanos = nowNanos;
        try {
            replica = opener.get();
            closed = false;
            EventLine.of("replica-reopened").info();
        } catch (ResultException failure) {
            EventLine.of("replica-not-reopened")
                    .with("code", failure.code().number())
                    .with("reason", failure.getMessage())
                    .warn();
        }
    }

    /** Stops the replica. */
    public void close() {
        if (!closed) {
            replica.close();
        }
    }
}
