package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.configuration.Organisation;

/**
 * Checks used tokens against the rates and bursts in force, independently of the tested classes.
 *
 * <p>The earlier value of a lowered rate or burst counts as in force until a lease length has
 * passed since the change.
 */
final class UsageOracle {
    private static final double TOLERANCE_TOKENS = 0.01;

    private final long leaseNanos;
    private final Map<String, List<Use>> uses = new HashMap<>();
    private final Map<String, List<Limit>> limits = new HashMap<>();

    UsageOracle(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    void limit(Organisation organisation, long nowNanos) {
        limits.computeIfAbsent(organisation.name(), name -> new ArrayList<>())
                .add(
                        new Limit(
                                nowNanos,
                                organisation.tokensPerSecond(),
                                organisation.burstTokens()));
    }

    Use used(String organisation, long tokens, long nowNanos) {
        final Use use = new Use(nowNanos, tokens);
        uses.computeIfAbsent(organisation, name -> new ArrayList<>()).add(use);
        return use;
    }

    /** Fails if the usage in any interval exceeds what the burst and rate allow. */
    void check() {
        uses.forEach(this::check);
    }

    private void check(String organisation, List<Use> all) {
        all.sort(Comparator.comparingLong((Use use) -> use.atNanos));
        double outstandingTokens = 0;
        long last = 0;
        long busySince = 0;
        for (final Use use : all) {
            outstandingTokens -= accruedTokens(organisation, last, use.atNanos);
            if (outstandingTokens <= 0) {
                outstandingTokens = 0;
                busySince = use.atNanos;
            }
            outstandingTokens += use.tokens;
            last = use.atNanos;
            final double bound = burst(organisation, busySince, use.atNanos);
            assertTrue(
                    outstandingTokens <= bound + TOLERANCE_TOKENS,
                    organisation
                            + " used "
                            + outstandingTokens
                            + " over "
                            + bound
                            + " at "
                            + use.atNanos);
        }
    }

    private double accruedTokens(String organisation, long fromNanos, long untilNanos) {
        double tokens = 0;
        final long step = 5_000_000;
        for (long at = fromNanos; at < untilNanos; at += step) {
            final long end = Math.min(untilNanos, at + step);
            double rate = 0;
            for (final Limit limit : inForce(organisation, at - leaseNanos, end)) {
                rate = Math.max(rate, limit.rate());
            }
            tokens += rate * (end - at) / 1e9;
        }
        return tokens;
    }

    private double burst(String organisation, long fromNanos, long untilNanos) {
        return inForce(organisation, fromNanos - leaseNanos, untilNanos).stream()
                .mapToDouble(Limit::burst)
                .max()
                .orElse(0);
    }

    private List<Limit> inForce(String organisation, long fromNanos, long untilNanos) {
        final List<Limit> found = new ArrayList<>();
        Limit before = null;
        for (final Limit limit : limits.getOrDefault(organisation, List.of())) {
            if (limit.fromNanos() <= fromNanos) {
                before = limit;
            } else if (limit.fromNanos() <= untilNanos) {
                found.add(limit);
            }
        }
        if (before != null) {
            found.add(before);
        }
        return found;
    }

    private record Limit(long fromNanos, double rate, double burst) {}

    static final class Use {
        private final long atNanos;
        private long tokens;

        private Use(long atNanos, long tokens) {
            this.atNanos = atNanos;
            this.tokens = tokens;
        }

        void settle(long usedTokens) {
            tokens = usedTokens;
        }
    }
}
