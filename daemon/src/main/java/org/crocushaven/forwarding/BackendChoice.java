package org.crocushaven.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.crocushaven.fleet.BackendRecord;

/**
 * Chooses the backend server with the least expected wait.
 *
 * <p>Compares all candidates: there are tens of them, and the least loaded of all keeps the worst
 * wait short when load comes in clumps. Not thread-safe.
 */
final class BackendChoice {
    /** Cost of one recent failure, in parts of a full backend server. */
    private static final double FAILURE_COST = 0.6;

    /** Cost of missed heartbeats. */
    private static final double SILENCE_COST = 0.8;

    /** Cost of another failure domain; a little more than one request of a small server. */
    private static final double DOMAIN_COST = 0.06;

    /**
     * Prompt tokens that weigh as much as a full backend server: reading them takes the pause that
     * a stream may have, 250 ms by the sheets. Playing seven gateways before eight engines with
     * reports each 100 ms, 16 in 100 streams paused for longer with it, 28 without.
     */
    private static final double PROMPT_TOKENS = 8_000;

    /** Gain where the parts of the prompt were read before. */
    private static final double PROMPT_GAIN = 0.15;

    /** Differences below this are decided by lot, so that gateways do not move as one. */
    private static final double LOT_COST = 0.02;

    private final String failureDomain;
    private final RandomGenerator random;

    private BackendChoice(String failureDomain, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /** Returns the choice of a gateway in a failure domain. */
    static BackendChoice of(String failureDomain, RandomGenerator random) {
        return new BackendChoice(failureDomain, random);
    }

    /** Returns the candidate with the least cost, or empty when there is none. */
    Optional<Candidate> choose(Collection<Candidate> candidates) {
        Candidate best = null;
        double bestCost = Double.MAX_VALUE;
        for (final Candidate candidate : candidates) {
            final double cost = cost(candidate);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(Candidate candidate) {
        double cost =
                candidate.load()
                        + candidate.promptTokens() / PROMPT_TOKENS
                        + FAILURE_COST * candidate.failures();
        if (candidate.backend().silent()) {
            cost += SILENCE_COST;
        }
        if (!candidate.backend().failureDomain().equals(failureDomain)) {
            cost += DOMAIN_COST;
        }
        if (candidate.promptKnown()) {
            cost -= PROMPT_GAIN;
        }
        return cost + LOT_COST * random.nextDouble();
    }

    /**
     * A backend server that could take a request.
     *
     * @param backend the backend server
     * @param requests requests believed to be under way there, over all gateways
     * @param failures recent failures, decayed
     * @param promptTokens tokens of prompts that it may still have to read
     * @param promptKnown whether it has lately read the shared parts of the prompt
     */
    record Candidate(
            BackendRecord backend,
            int requests,
            double failures,
            double promptTokens,
            boolean promptKnown) {
        /** Returns the part of its slots that is taken; more than 1 when requests wait. */
        double load() {
            return requests / (double) Math.max(1, backend.slots());
        }
    }
}
