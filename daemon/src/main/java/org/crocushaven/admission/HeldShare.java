package org.crocushaven.admission;

/**
 * The allocator's record of one holder's bucket for one organisation.
 *
 * <p>While a grant is unacknowledged the holder may have either the old or the new rate and
 * capacity; the larger of the two counts.
 */
final class HeldShare {
    private double rate;
    private double capacity;
    private double pendingRate;
    private double pendingCapacity;
    private double demand;
    private double missingTokens;
    private double level;
    private double largestRequest;
    private double pendingRefund;
    private double returningTokens;

    static HeldShare declared(ShareEntry entry) {
        final HeldShare held = new HeldShare();
        held.rate = entry.tokensPerSecond();
        held.capacity = entry.capacity();
        held.pendingRate = held.rate;
        held.pendingCapacity = held.capacity;
        return held;
    }

    void observe(ShareEntry entry) {
        demand = entry.demand();
        missingTokens = entry.missingTokens();
        level = entry.level();
        largestRequest = entry.largestRequest();
        pendingRefund = entry.pendingRefund();
        returningTokens = entry.returningTokens();
    }

    void recordGrant(double newRate, double newCapacity) {
        pendingRate = newRate;
        pendingCapacity = newCapacity;
    }

    void acknowledge() {
        rate = pendingRate;
        capacity = pendingCapacity;
    }

    double countedRate() {
        return Math.max(rate, pendingRate);
    }

    double countedCapacity() {
        return Math.max(capacity, pendingCapacity);
    }

    double rate() {
        return rate;
    }

    double capacity() {
        return capacity;
    }

    double demand() {
        return demand;
    }

    double missingTokens() {
        return missingTokens;
    }

    double level() {
        return level;
    }

    double pendingRefund() {
        return pendingRefund;
    }

    double returningTokens() {
        return returningTokens;
    }

    double largestRequest() {
        return largestRequest;
    }
}
