package org.crocushaven.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.observability.EventLine;
import org.crocushaven.once.ClaimCommand;

/**
 * Expires the claims of processes that have ended, on the instance that leads the claim group: the
 * outcome of calls that may have been sent becomes unknown, all other calls can be claimed again.
 *
 * <p>A process counts as ended when a later incarnation of its instance is known, or when the
 * instance has been unreachable for the duration of a session lease plus the allowed clock drift.
 * One command is proposed for each ended process, and again each time this instance becomes leader.
 */
final class ClaimExpiry {
    private static final long UNREACHABLE_LIMIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(
                    SessionSettings.DEFAULT_LEASE_MILLIS + SessionSettings.DEFAULT_DRIFT_MILLIS);

    private final MembershipView membership;
    private final BooleanSupplier isLeader;
    private final Consumer<byte[]> proposer;
    private final NanoClock clock;
    private final EpochClock epochClock;
    private final Map<String, Long> unreachableSinceNanos = new HashMap<>();
    private final Map<String, Long> expiredIncarnations = new HashMap<>();

    ClaimExpiry(
            MembershipView membership,
            BooleanSupplier isLeader,
            Consumer<byte[]> proposer,
            NanoClock clock,
            EpochClock epochClock) {
        this.membership = membership;
        this.isLeader = isLeader;
        this.proposer = proposer;
        this.clock = clock;
        this.epochClock = epochClock;
    }

    /** Expires claims of ended processes; call about once a second, always from the same thread. */
    void check() {
        final long nowNanos = clock.nanoTime();
        final boolean leading = isLeader.getAsBoolean();
        if (!leading) {
            expiredIncarnations.clear();
        }
        for (final InstanceRecord record : membership.instances()) {
            if (record.state().isReachable()) {
                unreachableSinceNanos.remove(record.name());
            } else {
                unreachableSinceNanos.putIfAbsent(record.name(), nowNanos);
            }
            if (leading) {
                expire(record, nowNanos);
            }
        }
    }

    private void expire(InstanceRecord record, long nowNanos) {
        final Long unreachableSince = unreachableSinceNanos.get(record.name());
        final boolean ended =
                unreachableSince != null && nowNanos - unreachableSince >= UNREACHABLE_LIMIT_NANOS;
        final long lastEnded = ended ? record.incarnation() : record.incarnation() - 1;
        final Long expired = expiredIncarnations.get(record.name());
        if (expired == null || expired < lastEnded) {
            expiredIncarnations.put(record.name(), lastEnded);
            EventLine.of("claims-expire")
                    .with("instance", record.name())
                    .with("through_incarnation", lastEnded)
                    .info();
            proposer.accept(
                    ClaimCommand.expireClaimer(record.name(), lastEnded, epochClock.time())
                            .encode());
        }
    }
}
