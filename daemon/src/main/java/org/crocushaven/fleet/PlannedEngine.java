package org.crocushaven.fleet;

import org.crocushaven.ingress.BaseModel;
import org.crocushaven.ingress.EngineProfile;

/** The planner's view of one engine. Not thread-safe. */
final class PlannedEngine {
    /** Half-life of the number of failed orders; an engine that is lost is noticed within a few. */
    private static final double FAILURES_HALF_LIFE_NANOS = 2e9;

    private final EngineSlots slots = new EngineSlots();
    private final DecayingCount failedOrders = DecayingCount.withHalfLife(FAILURES_HALF_LIFE_NANOS);
    private BackendAnnouncement announcement;
    private EngineProfile profile;
    private int requests;
    private boolean evacuated;

    /** Creates an engine whose held adapters are not known yet. */
    PlannedEngine(BackendAnnouncement announcement, EngineProfile profile) {
        this.announcement = announcement;
        this.profile = profile;
    }

    /** Applies an announcement of the same start of the engine. */
    void announced(BackendAnnouncement newAnnouncement, EngineProfile newProfile) {
        announcement = newAnnouncement;
        profile = newProfile;
    }

    /** Sets the number of requests in flight, over all gateways. */
    void setRequests(int newRequests) {
        requests = newRequests;
    }

    /** Sets whether its failure domain is evacuated, so that nothing is placed on it. */
    void setEvacuated(boolean isEvacuated) {
        evacuated = isEvacuated;
    }

    boolean isEvacuated() {
        return evacuated;
    }

    BackendAnnouncement announcement() {
        return announcement;
    }

    String backend() {
        return announcement.backend();
    }

    EngineProfile profile() {
        return profile;
    }

    /** Returns the adapter slots. */
    EngineSlots slots() {
        return slots;
    }

    int requests() {
        return requests;
    }

    /** Records that an order got no answer, or could not be sent. */
    void orderFailed(long nowNanos) {
        failedOrders.add(1, nowNanos);
    }

    /** Records that it has accepted an order. */
    void orderAccepted(long nowNanos) {
        failedOrders.set(0, nowNanos);
    }

    /** Returns the recent orders that failed since it accepted one. */
    double failedOrders(long nowNanos) {
        return failedOrders.at(nowNanos);
    }

    /** Returns whether it accepts requests of a service for adapters of a base model. */
    boolean serves(String service, String model) {
        return !evacuated
                && announcement.state() == BackendState.READY
                && announcement.service().equals(service)
                && slots.holdsModel(model);
    }

    /** Returns whether another adapter load may be ordered now, if a slot is free for it. */
    boolean acceptsLoads(long nowNanos) {
        return slots.isVerified() && slots.loadingCount(nowNanos) < EngineSlots.MAXIMUM_LOADING;
    }

    /** Returns whether an adapter slot is free. */
    boolean hasFreeSlot() {
        return slots.occupied() < capacity();
    }

    /** Returns the requests in flight per request slot; more than 1 if requests wait. */
    double load() {
        return requests / (double) Math.max(1, announcement.requestSlots());
    }

    /** Returns how many adapters fit beside the base models that it holds. */
    private int capacity() {
        double freeMegabytes = profile.weightsMegabytes();
        double largest = 0;
        for (final BaseModel model : profile.models()) {
            if (slots.holdsModel(model.name())) {
                freeMegabytes -= model.weightsMegabytes();
                largest = Math.max(largest, model.adapterMegabytes());
            }
        }
        return largest <= 0
                ? profile.adapterSlots()
                : (int) Math.min(profile.adapterSlots(), Math.max(0, freeMegabytes / largest));
    }
}
