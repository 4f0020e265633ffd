package org.crocushaven.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.evacuation.Evacuation;
import org.crocushaven.evacuation.EvacuationOrder;
import org.crocushaven.evacuation.EvacuationQuery;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.Message;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Takes an operator's orders on failure domains: asks the leader for the revision of the domain,
 * and proposes the order for that revision only. Used on one event loop only.
 */
final class EvacuationIntake {
    /**
     * Time after which an order that has not been proposed yet is dropped; its operator has sent it
     * elsewhere by then.
     */
    private static final long MAXIMUM_AGE_MILLIS = 1_000;

    private final List<String> failureDomains;
    private final FleetState state;
    private final BackendRegistry registry;
    private final Supplier<FleetLeader> leader;
    private final Function<Message, CompletableFuture<Message>> leaderCall;
    private final Function<FleetCommand, CompletableFuture<Void>> proposal;
    private final NanoClock clock;
    private final EpochClock epochClock;

    /**
     * Creates the intake of an instance.
     *
     * @param failureDomains all failure domains; empty if only those of backend servers are known
     * @param leader returns the leader if this instance leads, otherwise null
     * @param leaderCall passes a message on to the instance that leads
     * @param proposal proposes a command, here or at the instance that leads
     */
    EvacuationIntake(
            List<String> failureDomains,
            FleetState state,
            BackendRegistry registry,
            Supplier<FleetLeader> leader,
            Function<Message, CompletableFuture<Message>> leaderCall,
            Function<FleetCommand, CompletableFuture<Void>> proposal,
            NanoClock clock,
            EpochClock epochClock) {
        this.failureDomains = failureDomains;
        this.state = state;
        this.registry = registry;
        this.leader = leader;
        this.leaderCall = leaderCall;
        this.proposal = proposal;
        this.clock = clock;
        this.epochClock = epochClock;
    }

    /** Carries an order out; completes when it is committed. */
    CompletableFuture<Void> order(String failureDomain, boolean begins) {
        if (!isKnown(failureDomain)) {
            return CompletableFuture.failedFuture(
                    ResultException.of(ResultCode.UNKNOWN_FAILURE_DOMAIN, failureDomain));
        }
        final long receivedNanos = clock.nanoTime();
        final long receivedMillis = epochClock.time();
        return find(failureDomain)
                .thenCompose(
                        known -> {
                            requireYoung(failureDomain, receivedNanos, receivedMillis);
                            return proposal.apply(
                                    FleetCommand.evacuation(
                                            new EvacuationOrder(
                                                    failureDomain, begins, known.revision())));
                        })
                .thenRun(() -> logAccepted(failureDomain, begins));
    }

    private boolean isKnown(String failureDomain) {
        return failureDomains.isEmpty()
                ? registry.present().stream()
                        .anyMatch(backend -> backend.failureDomain().equals(failureDomain))
                : failureDomains.contains(failureDomain);
    }

    private CompletableFuture<Evacuation> find(String failureDomain) {
        return leader.get() != null
                ? CompletableFuture.completedFuture(state.evacuation(failureDomain))
                : leaderCall
                        .apply(new EvacuationQuery(failureDomain))
                        .handle((answer, failure) -> evacuationOf(answer));
    }

    /** A leader that does not answer, or runs software without evacuations, is asked again. */
    private static Evacuation evacuationOf(Message answer) {
        if (answer instanceof Evacuation found) {
            return found;
        }
        throw ResultException.of(ResultCode.NOT_LEADER, "evacuations");
    }

    private void requireYoung(String failureDomain, long receivedNanos, long receivedMillis) {
        final long ageMillis =
                Math.max(
                        TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - receivedNanos),
                        epochClock.time() - receivedMillis);
        if (ageMillis > MAXIMUM_AGE_MILLIS) {
            throw ResultException.of(ResultCode.EVACUATION_OVERTAKEN, failureDomain);
        }
    }

    private static void logAccepted(String failureDomain, boolean begins) {
        EventLine.of(begins ? "evacuation-begun" : "evacuation-finished")
                .with("failure_domain", failureDomain)
                .info();
    }
}
