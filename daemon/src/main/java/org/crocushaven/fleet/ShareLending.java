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
 * Lends shares to gateways that stand in the replicated state, so that a later leader knows when
 * all that may hold some have reported. Not thread-safe.
 */
final class ShareLending {
    /** Time after which a registration that did not succeed is tried again. */
    private static final long REGISTRATION_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a gateway that never reported to this leader holds nothing. */
    private static final long FORGOTTEN_GATEWAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * Part of the tolerated excess that one leader may lend as a debt: three leaders in one window
     * do not exceed it, since each forgets the debt of the one before.
     */
    private static final double DEBT_PART = 0.3;

    private final FleetState state;
    private final Consumer<FleetCommand> registration;
    private final ShareAllocator shares;
    private final long sinceNanos;
    private final Map<String, Long> registering = new HashMap<>();
    private final Set<String> declared = new HashSet<>();
    private final Set<Organisation> limits = new HashSet<>();
    private long emptyNanos = Long.MAX_VALUE;
    private boolean allDeclared;

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
                        ShareAllocatorSettings.selfReliant().withLargestDebt(rateSlack * DEBT_PART),
                        List.of(),
                        nowNanos);
        this.sinceNanos = nowNanos;
    }

    /** Takes in the organisations of a configuration. */
    void configured(IngressConfiguration configuration, long nowNanos) {
        final List<Organisation> organisations =
                configuration.organisations().stream()
                        .filter(KeyedOrganisation::isBounded)
                        .map(ShareLending::limitsOf)
                        .toList();
        organisations.stream()
                .filter(organisation -> !limits.contains(organisation))
                .forEach(organisation -> logLimits(configuration.version(), organisation));
        limits.clear();
        limits.addAll(organisations);
        shares.organisationsChanged(organisations, nowNanos);
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

    /** Lets leases expire, and forgets gateways that are gone. */
    void tick(long nowNanos) {
        shares.tick(nowNanos);
        forgetGateways(nowNanos);
    }

    /** Lends shares to a gateway once it is known to every later leader that it may hold some. */
    Optional<ShareGrant> lend(GatewayReport report, long nowNanos) {
        final Set<String> registered = state.gateways();
        if (!registered.contains(report.gateway())) {
            final Long asked = registering.get(report.gateway());
            if (asked == null || nowNanos - asked >= REGISTRATION_NANOS) {
                registering.put(report.gateway(), nowNanos);
                registration.accept(FleetCommand.gateways(List.of(report.gateway()), List.of()));
            }
            return Optional.empty();
        }
        if (declared.add(report.gateway())) {
            emptyNanos = Math.min(emptyNanos, report.shares().emptyNanos());
        }
        final ShareGrant grant = shares.handle(report.gateway(), report.shares(), nowNanos);
        if (!allDeclared && declared.containsAll(registered)) {
            allDeclared = true;
            shares.allHoldersKnown(emptyNanos, nowNanos);
            EventLine.of("share-holders-known")
                    .with("gateways", declared.size())
                    .with("empty_ms", TimeUnit.NANOSECONDS.toMillis(emptyNanos))
                    .with("after_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos))
                    .info();
        }
        return Optional.of(grant);
    }

    /** Forgets gateways that have not reported for long; what they held has expired long ago. */
    private void forgetGateways(long nowNanos) {
        if (nowNanos - sinceNanos < FORGOTTEN_GATEWAY_NANOS || allDeclared) {
            return;
        }
        allDeclared = true;
        final List<String> absent =
                state.gateways().stream().filter(name -> !declared.contains(name)).toList();
        if (!absent.isEmpty()) {
            registration.accept(FleetCommand.gateways(List.of(), absent));
        }
    }
}
