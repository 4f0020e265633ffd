package org.crocushaven.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.crocushaven.admission.ShareAllocator;
import org.crocushaven.admission.ShareAllocatorSettings;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.observability.EventLine;

/**
 * Lends gateways shares of the organisations' token rates. Only gateways that are registered in the
 * replicated state hold shares, so that a later leader knows when all of them have reported. Not
 * thread-safe.
 */
final class ShareLending {
    /** Time after which a failed registration is retried. */
    private static final long REGISTRATION_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a gateway that has not reported to this leader is no longer registered. */
    private static final long ABSENT_GATEWAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * Fraction of the tolerated excess that one leader may lend as debt. A new leader does not know
     * the debt of its predecessor; three leaders in one window still do not exceed the tolerance.
     */
    private static final double DEBT_FRACTION = 0.3;

    private final FleetState state;
    private final Consumer<FleetCommand> registration;
    private final ShareAllocator shares;
    private final long startNanos;
    private final Map<String, Long> lastProposalNanos = new HashMap<>();
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private final Set<Organisation> limits = new HashSet<>();

    /** Shortest time, over the gateways that reported, for which one has held no shares. */
    private long shortestEmptyNanos = Long.MAX_VALUE;

    private boolean allReported;
    private long removalProposedNanos;

    /**
     * Creates the lending of a leader.
     *
     * @param epoch the leader's term
     * @param registration proposes changes of the gateways that may hold shares
     * @param rateSlack tokens beyond an organisation's rate that are tolerated in one window
     */
    ShareLending(
            long epoch,
            FleetState state,
            Consumer<FleetCommand> registration,
            double rateSlack,
            long nowNanos) {
        this.state = state;
        this.registration = registration;
        this.shares =
                ShareAllocator.create(
                        epoch,
                        ShareAllocatorSettings.toleratingAllocatorLoss()
                                .withMaximumDebt(rateSlack * DEBT_FRACTION),
                        List.of(),
                        nowNanos);
        this.startNanos = nowNanos;
        this.removalProposedNanos = nowNanos;
    }

    /** Applies the organisations of a configuration. */
    void configured(IngressConfiguration configuration, long nowNanos) {
        final List<Organisation> organisations =
                configuration.organisations().stream()
                        .filter(KeyedOrganisation::hasRateLimit)
                        .map(ShareLending::limitsOf)
                        .toList();
        organisations.stream()
                .filter(organisation -> !limits.contains(organisation))
                .forEach(organisation -> logLimits(configuration.version(), organisation));
        limits.clear();
        limits.addAll(organisations);
        shares.applyOrganisations(organisations, nowNanos);
    }

    private static Organisation limitsOf(KeyedOrganisation organisation) {
        return new Organisation(
                organisation.name(), organisation.allowedPerSecond(), organisation.burst(), 1);
    }

    private static void logLimits(long version, Organisation organisation) {
        EventLine.of("share-limits")
                .with("configuration", version)
                .with("organisation", organisation.name())
                .with("per_second", organisation.tokensPerSecond())
                .with("burst", organisation.burstTokens())
                .info();
    }

    /** Expires leases and removes absent gateways. */
    void tick(long nowNanos) {
        shares.tick(nowNanos);
        removeAbsentGateways(nowNanos);
    }

    /**
     * Lends shares to a gateway once its registration is committed, so that every later leader
     * knows that it may hold some.
     */
    Optional<ShareGrant> lend(GatewayReport report, long nowNanos) {
        final Set<String> registered = state.gateways();
        if (!registered.contains(report.gateway())) {
            final Long proposedNanos = lastProposalNanos.get(report.gateway());
            if (proposedNanos == null || nowNanos - proposedNanos >= REGISTRATION_RETRY_NANOS) {
                lastProposalNanos.put(report.gateway(), nowNanos);
                registration.accept(FleetCommand.gateways(List.of(report.gateway()), List.of()));
            }
            return Optional.empty();
        }
        if (lastReportNanos.put(report.gateway(), nowNanos) == null) {
            shortestEmptyNanos = Math.min(shortestEmptyNanos, report.shares().emptyNanos());
        }
        final ShareGrant grant = shares.handle(report.gateway(), report.shares(), nowNanos);
        if (!allReported && lastReportNanos.keySet().containsAll(registered)) {
            allReported = true;
            shares.endWithholding(shortestEmptyNanos, nowNanos);
            EventLine.of("share-holders-known")
                    .with("gateways", lastReportNanos.size())
                    .with("empty_ms", TimeUnit.NANOSECONDS.toMillis(shortestEmptyNanos))
                    .with("after_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos))
                    .info();
        }
        return Optional.of(grant);
    }

    /**
     * Removes gateways that have not reported for a long time, so that the next leader need not
     * wait for them; the shares that they held have expired.
     */
    private void removeAbsentGateways(long nowNanos) {
        if (nowNanos - removalProposedNanos < REGISTRATION_RETRY_NANOS) {
            return;
        }
        final List<String> absent =
                state.gateways().stream()
                        .filter(
                                name ->
                                        nowNanos - lastReportNanos.getOrDefault(name, startNanos)
                                                >= ABSENT_GATEWAY_NANOS)
                        .toList();
        if (!absent.isEmpty()) {
            removalProposedNanos = nowNanos;
            registration.accept(FleetCommand.gateways(List.of(), absent));
        }
    }
}
