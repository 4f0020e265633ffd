package org.crocushaven.fleet;

import org.crocushaven.ingress.BaseModel;
import org.crocushaven.ingress.EngineProfile;

/** One engine as the planner of adapters knows it. Not thread-safe. */
final class PlannedEngine {
    private final EngineSlots slots = new EngineSlots();
    private BackendAnnouncement announcement;
    private EngineProfile profile;
    private int requests;

    /** Creates an engine that has not reported what it holds. */
    PlannedEngine(BackendAnnouncement announcement, EngineProfile profile) {
        this.announcement = announcement;
        this.profile = profile;
    }

    /** Takes in an announcement of the same start. */
    void announced(BackendAnnouncement newAnnouncement, EngineProfile newProfile) {
        announcement = newAnnouncement;
        profile = newProfile;
    }

    /** Takes in the requests under way, over all gateways. */
    void loaded(int newRequests) {
        requests = newRequests;
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

    EngineSlots slots() {
        return slots;
    }

    int requests() {
        return requests;
    }

    /** Returns whether it takes requests of a service for adapters of a base model. */
    boolean serves(String service, String model) {
        return announcement.state() == BackendState.READY
                && announcement.service().equals(service)
                && slots.holdsModel(model);
    }

    /** Returns whether another adapter may be ordered to it now, room aside. */
    boolean takesOrders(long nowNanos) {
        return slots.isVerified() && slots.inTransit(nowNanos) < EngineSlots.MAXIMUM_IN_TRANSIT;
    }

    /** Returns whether an adapter finds room without another one leaving. */
    boolean hasRoom() {
        return slots.taken() < places();
    }

    /** Returns whether what it holds and was promised, without what leaves, finds room. */
    boolean fits() {
        return slots.staying() <= places();
    }

    /** Returns the part of its slots that is taken; more than 1 when requests wait. */
    double load() {
        return requests / (double) Math.max(1, announcement.slots());
    }

    /** Returns how many adapters find room beside the base models that it holds. */
    private int places() {
        double room = profile.weightsMegabytes();
        double largest = 0;
        for (final BaseModel model : profile.models()) {
            if (slots.holdsModel(model.name())) {
                room -= model.weightsMegabytes();
                largest = Math.max(largest, model.adapterMegabytes());
            }
        }
        return largest <= 0
                ? profile.adapterSlots()
                : (int) Math.min(profile.adapterSlots(), Math.max(0, room / largest));
    }
}
