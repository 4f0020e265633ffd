package org.crocushaven.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.crocushaven.coordination.ProposalClient;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.once.ClaimClient;

/**
 * Assembles the components that claim non-idempotent calls and expire the claims of processes that
 * have ended.
 */
final class ClaimComponents {
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_MILLIS = 500;
    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final ProposalClient proposals;
    private final MembershipView membership;
    private final ScheduledExecutorService timers;
    private final NanoClock clock;

    ClaimComponents(
            ProposalClient proposals,
            MembershipView membership,
            ScheduledExecutorService timers,
            NanoClock clock) {
        this.proposals = proposals;
        this.membership = membership;
        this.timers = timers;
        this.clock = clock;
    }

    /** Returns a gate that claims calls for this instance. */
    ClaimGate gate(InstanceRecord self) {
        return new ClaimGate(
                self.name(),
                self.incarnation(),
                ClaimClient.over(this::propose),
                SystemEpochClock.INSTANCE,
                task -> timers.schedule(task, RETRY_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Starts the expiry of claims, which acts while this instance leads the claim group. */
    void startExpiry(ControlNode control) {
        final ClaimExpiry expiry =
                new ClaimExpiry(
                        membership,
                        () -> control.isLeader(ControlGroups.CLAIMS),
                        this::propose,
                        clock,
                        SystemEpochClock.INSTANCE);
        timers.scheduleWithFixedDelay(
                GuardedTask.of(expiry::check),
                EXPIRY_INTERVAL_MILLIS,
                EXPIRY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<byte[]> propose(byte[] command) {
        return proposals.propose(ControlGroups.CLAIMS, command, PROPOSAL_TIMEOUT);
    }
}
