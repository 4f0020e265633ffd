package org.crocushaven.bench.measure;

import java.util.ArrayList;
import java.util.List;
import org.crocushaven.admission.TokenBucket;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.result.ResultCode;

/**
 * Counts the outcomes of requests, and judges by an ideal bucket of each organisation which
 * refusals are wrongful.
 */
final class FlowOutcomes {
    private static final long AFTER_LOSS_NANOS = 10_000_000_000L;

    private final VirtualClock clock;
    private final long countFromNanos;
    private final int overRate;
    private final List<TokenBucket> ideal = new ArrayList<>();
    private final List<UsageBound> bounds = new ArrayList<>();
    private final RunResult result = new RunResult();
    private long lossNanos = Long.MAX_VALUE;

    /**
     * Creates the counts.
     *
     * @param countFromNanos requests that arrive earlier are not counted
     * @param overRate index of an organisation that sends more than its rate, so that a refusal of
     *     its requests is not wrongful; -1 for none
     */
    FlowOutcomes(
            VirtualClock clock,
            List<Organisation> organisations,
            long countFromNanos,
            int overRate) {
        this.clock = clock;
        this.countFromNanos = countFromNanos;
        this.overRate = overRate;
        for (final Organisation organisation : organisations) {
            final double rate = organisation.tokensPerSecond();
            final double burst = organisation.burstTokens();
            ideal.add(TokenBucket.create(rate, burst, burst, 0));
            bounds.add(new UsageBound(rate, burst));
        }
    }

    RunResult result() {
        return result;
    }

    List<UsageBound> bounds() {
        return bounds;
    }

    /** Sets the time of a loss; refusals after it are counted apart. */
    void lossAt(long nanos) {
        lossNanos = nanos;
    }

    /** Takes the tokens of a new request from the ideal bucket; returns whether it had them. */
    boolean tryTakeIdeal(Arrival arrival) {
        return arrival.organisation() != overRate
                && ideal.get(arrival.organisation()).tryTake(arrival.charge(), clock.nowNanos());
    }

    void arrived(RequestRun run) {
        if (isCounted(run)) {
            final Arrival arrival = run.arrival();
            result.arrived(
                    arrival.organisation(), arrival.used(), run.isInsideRate(), isAfterLoss(run));
        }
    }

    /** Counts the first token of an answer and the wait for a load before it, if there was one. */
    void firstToken(RequestRun run, long atNanos) {
        if (isCounted(run)) {
            result.firstToken(run.arrival().organisation(), atNanos - run.arrival().atNanos());
            if (run.stalledNanos() >= 0) {
                result.stalled(run.stalledNanos());
            }
        }
    }

    /** Counts a request whose deadline passed while it waited for a load. */
    void missedLoad(RequestRun run) {
        if (isCounted(run)) {
            result.stalled(clock.nowNanos() - run.arrival().atNanos());
        }
    }

    void served(RequestRun run) {
        if (isCounted(run)) {
            result.served(run.arrival().organisation(), run.arrival().used());
        }
    }

    void refused(RequestRun run, ResultCode code) {
        if (isCounted(run)) {
            result.refused(code, run.isInsideRate(), isAfterLoss(run));
        }
    }

    /** Counts a request whose instance was lost. */
    void cut() {
        result.cut();
    }

    /** Returns what a request did not use to the ideal bucket. */
    void settled(RequestRun run, long usedTokens) {
        if (run.isInsideRate()) {
            ideal.get(run.arrival().organisation())
                    .add(run.arrival().charge() - usedTokens, clock.nowNanos());
        }
    }

    /** Records used tokens for the check of the organisation's bound. */
    void used(RequestRun run) {
        bounds.get(run.arrival().organisation()).used(run.chargedNanos(), run.arrival().used());
    }

    private boolean isCounted(RequestRun run) {
        return run.arrival().atNanos() >= countFromNanos;
    }

    private boolean isAfterLoss(RequestRun run) {
        final long since = run.arrival().atNanos() - lossNanos;
        return since >= 0 && since < AFTER_LOSS_NANOS;
    }
}
