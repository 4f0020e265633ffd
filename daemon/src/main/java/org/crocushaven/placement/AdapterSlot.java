package org.crocushaven.placement;

/** An adapter slot of a backend server that holds, or may hold, a version. Not thread-safe. */
final class AdapterSlot {
    private Status status;
    private long sinceNanos;
    private boolean possiblyBusy;
    private long possiblyBusySinceNanos;
    private boolean draining;
    private boolean orderInvalidated;

    AdapterSlot(Status status, long nowNanos) {
        this.status = status;
        this.sinceNanos = nowNanos;
    }

    void changeStatus(Status next, long nowNanos) {
        status = next;
        sinceNanos = nowNanos;
        draining = false;
    }

    /** Records that requests unknown to the dispatcher may be running on the version. */
    void markPossiblyBusy(long nowNanos) {
        possiblyBusy = true;
        possiblyBusySinceNanos = nowNanos;
    }

    void clearPossiblyBusy() {
        possiblyBusy = false;
    }

    void setDraining(boolean value) {
        draining = value;
    }

    /** Records that the backend server restarted while an order was in flight. */
    void invalidateOrder() {
        orderInvalidated = true;
    }

    Status status() {
        return status;
    }

    boolean hasStatus(Status other) {
        return status == other;
    }

    long sinceNanos() {
        return sinceNanos;
    }

    boolean isPossiblyBusy() {
        return possiblyBusy;
    }

    long possiblyBusySinceNanos() {
        return possiblyBusySinceNanos;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isOrderInvalidated() {
        return orderInvalidated;
    }

    /** State of the slot as assumed by the dispatcher. */
    enum Status {
        /** The version is loaded. */
        LOADED,
        /** A load order is in flight. */
        LOADING,
        /** An unload order is in flight. */
        UNLOADING,
        /** The outcome of an order is unknown; the order may still reach the backend server. */
        UNCERTAIN
    }
}
