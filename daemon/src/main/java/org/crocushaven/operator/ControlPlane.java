package org.crocushaven.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.status.BackendStatus;
import org.crocushaven.status.FleetStatus;
import org.crocushaven.status.VoterStatus;

/**
 * Carries out the operations of operators on the fleet and provides views of it.
 *
 * <p>Every instance offers all of them.
 *
 * <p>The methods are called on event loops and must not block. Futures fail with {@code
 * ResultException}.
 */
public interface ControlPlane {
    /**
     * Submits a change; completes once it is committed, with the answer: accepted or refused.
     *
     * <p>Fails with {@code NO_QUORUM} or {@code NOT_LEADER} if the change was certainly not
     * proposed, and with {@code CHANGE_OUTCOME_UNKNOWN} if it may still be committed.
     */
    CompletableFuture<ChangeAnswer> submit(NumberedChange change);

    /** Returns the configuration in force on this instance. */
    FleetConfiguration configuration();

    /** Returns the fleet as this instance sees it. */
    FleetStatus status();

    /** Returns every known backend server. */
    List<BackendStatus> backends();

    /** Returns the voters of the control group. */
    List<VoterStatus> voters();

    /** Adds a voter; completes once it has caught up, has synced and its vote counts. */
    CompletableFuture<Void> addVoter(String instance);

    /** Removes a voter; completes once its vote no longer counts. */
    CompletableFuture<Void> removeVoter(String instance);

    /** Stops an instance gracefully; completes once it has begun to stop. */
    CompletableFuture<Void> drainInstance(String instance);
}
