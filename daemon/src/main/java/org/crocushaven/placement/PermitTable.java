package org.crocushaven.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Holds the active permits of one backend server and the lost permits whose request may still run.
 *
 * <p>A lost permit occupies a request slot until a later report shows no more running requests than
 * active permits, or until its deadline and grace period have passed. Not thread-safe.
 */
final class PermitTable {
    private final Map<String, Permit> permits = new LinkedHashMap<>();
    private final Map<AdapterVersion, Integer> pins = new HashMap<>();
    private final List<LostPermit> lost = new ArrayList<>();

    void add(Permit permit) {
        permits.put(permit.requestId(), permit);
        permit.version().ifPresent(version -> pins.merge(version, 1, Integer::sum));
    }

    /** Removes and returns a permit; null if there is none. */
    Permit remove(String requestId) {
        final Permit permit = permits.remove(requestId);
        if (permit != null) {
            permit.version().ifPresent(version -> pins.computeIfPresent(version, this::decrement));
        }
        return permit;
    }

    Permit get(String requestId) {
        return permits.get(requestId);
    }

    List<Permit> matching(Predicate<Permit> condition) {
        return permits.values().stream().filter(condition).toList();
    }

    /** Keeps the request slot of a removed permit occupied until the given time at the latest. */
    void retainSlot(Permit permit, long sinceNanos, long untilNanos) {
        lost.add(new LostPermit(permit, sinceNanos, untilNanos));
    }

    /** Frees the request slots of lost permits whose time limit has passed. */
    void expireLost(long nowNanos) {
        lost.removeIf(entry -> nowNanos - entry.untilNanos() >= 0);
    }

    /**
     * Frees the request slots of lost permits if a report taken after the loss shows no more
     * running requests than active permits.
     */
    void applyReport(int running, long reportLagNanos, long nowNanos) {
        if (running <= permits.size()) {
            lost.removeIf(entry -> nowNanos - entry.sinceNanos() >= reportLagNanos);
        }
    }

    boolean isPinned(AdapterVersion version) {
        return pins.containsKey(version);
    }

    int pins(AdapterVersion version) {
        return pins.getOrDefault(version, 0);
    }

    /** Returns how many request slots are occupied. */
    int occupiedSlots() {
        return permits.size() + lost.size();
    }

    int size() {
        return permits.size();
    }

    private Integer decrement(AdapterVersion version, Integer count) {
        return count == 1 ? null : Integer.valueOf(count - 1);
    }

    private record LostPermit(Permit permit, long sinceNanos, long untilNanos) {}
}
