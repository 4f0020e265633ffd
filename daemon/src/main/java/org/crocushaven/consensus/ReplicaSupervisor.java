package org.crocushaven.consensus;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultException;

/**
 * Reopens a replica after its disk failed.
 *
 * <p>After a failed write, the state in memory may differ from the state on disk. The replica is
 * therefore closed and reopened from the disk; failed attempts are retried. Used from one thread.
 *
 * @param <R> the type of the replica
 */
public final class ReplicaSupervisor<R extends ReopenableReplica> {
    /** Interval between two attempts; a failing disk typically rejects writes for seconds. */
    private static final long REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final Supplier<R> opener;
    private R replica;
    private long waitStartNanos;
    private boolean closed;

    private ReplicaSupervisor(Supplier<R> opener) {
        this.opener = opener;
        this.replica = opener.get();
    }

    /** Opens a replica; throws the exception of the opener if this first attempt fails. */
    public static <R extends ReopenableReplica> ReplicaSupervisor<R> open(Supplier<R> opener) {
        return new ReplicaSupervisor<>(opener);
    }

    /** Returns the replica that was opened last; it may have failed. */
    public R replica() {
        return replica;
    }

    /** Closes the replica when it has failed, and reopens it after the retry interval. */
    public void reopenIfFailed(long nowNanos) {
        if (!replica.hasFailed()) {
            return;
        }
        if (!closed) {
            replica.close();
            closed = true;
            waitStartNanos = nowNanos;
            return;
        }
        if (nowNanos - waitStartNanos < REOPEN_NANOS) {
            return;
        }
        waitStartNanos = nowNanos;
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

    /** Closes the replica unless it is already closed after a failure. */
    public void close() {
        if (!closed) {
            replica.close();
        }
    }
}
