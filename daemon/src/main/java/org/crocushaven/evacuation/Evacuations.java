package org.crocushaven.evacuation;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The evacuations of all failure domains, as far as they are committed.
 *
 * <p>An order that holds already changes nothing. One that would change the state of a failure
 * domain is applied only if that state has not changed since the order arrived, so that a late copy
 * of an order cannot undo a later one. Not thread-safe.
 */
public final class Evacuations {
    private final Map<String, Evacuation> byDomain = new TreeMap<>();

    /** Returns evacuations of no failure domain. */
    public static Evacuations none() {
        return new Evacuations();
    }

    /**
     * Applies an order.
     *
     * @param index index of its entry in the log
     * @return whether the failure domain is now in the ordered state
     */
    public boolean apply(EvacuationOrder order, long index) {
        final Evacuation known = find(order.failureDomain());
        if (known.underWay() == order.begins()) {
            return true;
        }
        if (known.revision() != order.expectedRevision()) {
            return false;
        }
        byDomain.put(
                order.failureDomain(),
                new Evacuation(order.failureDomain(), order.begins(), index));
        return true;
    }

    /** Replaces all evacuations by those of a snapshot. */
    public void restore(List<Evacuation> held) {
        byDomain.clear();
        held.forEach(evacuation -> byDomain.put(evacuation.failureDomain(), evacuation));
    }

    /** Returns the last evacuation of a failure domain. */
    public Evacuation find(String failureDomain) {
        return byDomain.getOrDefault(failureDomain, Evacuation.never(failureDomain));
    }

    /** Returns the last evacuation of each failure domain that ever had one. */
    public List<Evacuation> all() {
        return List.copyOf(byDomain.values());
    }
}
