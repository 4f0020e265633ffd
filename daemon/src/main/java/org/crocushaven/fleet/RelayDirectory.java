package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses for the leader which gateways can take requests of one that lost its paths to backend
 * servers.
 *
 * <p>Those come first that have all their paths, and among them those of its own failure domain,
 * but one of another domain is always among them, as a whole domain may be cut off. Which ones
 * differs from gateway to gateway, so that not all choose the same. Immutable.
 */
final class RelayDirectory {
    /** Gateways that one is told of; the next report brings others if these are lost. */
    private static final int MAXIMUM_RELAYS = 4;

    private RelayDirectory() {}

    /** Returns the relays for a gateway that wants any, the best first. */
    static List<Relay> relaysFor(GatewayReport asking, Collection<GatewayReport> known) {
        if (!asking.paths().wantsRelays()) {
            return List.of();
        }
        final List<GatewayReport> able = new ArrayList<>();
        for (final GatewayReport other : known) {
            if (!other.gateway().equals(asking.gateway())
                    && !other.paths().address().isEmpty()
                    && reachesMore(other.paths(), asking.paths())) {
                able.add(other);
            }
        }
        able.sort(
                Comparator.comparing((GatewayReport other) -> other.paths().wantsRelays())
                        .thenComparing((GatewayReport other) -> !isNear(asking, other))
                        .thenComparingInt(other -> rank(asking, other)));
        final List<GatewayReport> chosen = new ArrayList<>(firstOf(able));
        if (chosen.stream().allMatch(other -> isNear(asking, other))) {
            able.stream()
                    .filter(other -> !isNear(asking, other))
                    .findFirst()
                    .ifPresent(distant -> replaceLast(chosen, distant));
        }
        return chosen.stream()
                .map(
                        other ->
                                new Relay(
                                        other.gateway(),
                                        other.paths().address(),
                                        other.paths().unreachable(),
                                        other.paths().failureDomain()))
                .toList();
    }

    /** Returns whether a gateway reaches a service that the one that asks does not. */
    private static boolean reachesMore(PathReport other, PathReport asking) {
        return asking.unreachable().isEmpty()
                || !other.unreachable().containsAll(asking.unreachable());
    }

    private static List<GatewayReport> firstOf(List<GatewayReport> able) {
        return able.subList(0, Math.min(MAXIMUM_RELAYS, able.size()));
    }

    private static void replaceLast(List<GatewayReport> chosen, GatewayReport distant) {
        if (chosen.size() >= MAXIMUM_RELAYS) {
            chosen.remove(chosen.size() - 1);
        }
        chosen.add(distant);
    }

    private static boolean isNear(GatewayReport asking, GatewayReport other) {
        return asking.paths().failureDomain().equals(other.paths().failureDomain());
    }

    /** Orders the same gateways differently for each that asks. */
    private static int rank(GatewayReport asking, GatewayReport other) {
        return (asking.gateway() + ' ' + other.gateway()).hashCode() * 0x9E3779B1;
    }
}
