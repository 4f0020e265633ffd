package org.crocushaven.forwarding;

import java.util.List;
import java.util.Optional;
import org.crocushaven.coldstart.ColdGrant;
import org.crocushaven.fleet.AdapterVersion;
import org.crocushaven.fleet.BackendLoad;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.TraitUpdate;

/** Builds updates that tell a gateway only what a test sets. */
final class GatewayUpdateBuilder {
    private final long epoch;
    private long revision = 1;
    private boolean complete;
    private long stateRevision;
    private boolean hasState;
    private List<AdapterVersion> adapterVersions = List.of();
    private List<BackendRecord> changed = List.of();
    private List<String> gone = List.of();
    private List<BackendLoad> otherLoads = List.of();
    private List<String> controlInstances = List.of();
    private List<ColdGrant> coldStarts = List.of();
    private List<String> evacuatedDomains = List.of();
    private TraitUpdate traits = TraitUpdate.EMPTY;

    private GatewayUpdateBuilder(long epoch) {
        this.epoch = epoch;
    }

    /** Begins an update of the leader of the given term. */
    static GatewayUpdateBuilder ofTerm(long epoch) {
        return new GatewayUpdateBuilder(epoch);
    }

    /** Returns an update of the leader of term 1 that lists some backend servers. */
    static GatewayUpdate ofBackends(List<BackendRecord> changed, List<String> gone) {
        return ofTerm(1).changed(changed).gone(gone).build();
    }

    /** Lists all backend servers there are, at a revision of the view of the fleet. */
    GatewayUpdateBuilder completeAt(long viewRevision, List<BackendRecord> all) {
        complete = true;
        revision = viewRevision;
        changed = all;
        return this;
    }

    /**
     * Sets the revision of the replicated state, and whether the update brings it because that of
     * the gateway is outdated.
     */
    GatewayUpdateBuilder state(long revisionOfState, boolean isBrought) {
        stateRevision = revisionOfState;
        hasState = isBrought;
        return this;
    }

    GatewayUpdateBuilder adapterVersions(List<AdapterVersion> versions) {
        adapterVersions = versions;
        return this;
    }

    GatewayUpdateBuilder changed(List<BackendRecord> backends) {
        changed = backends;
        return this;
    }

    GatewayUpdateBuilder gone(List<String> backends) {
        gone = backends;
        return this;
    }

    GatewayUpdateBuilder otherLoads(List<BackendLoad> loads) {
        otherLoads = loads;
        return this;
    }

    GatewayUpdateBuilder coldStarts(ColdGrant... cold) {
        coldStarts = List.of(cold);
        return this;
    }

    GatewayUpdateBuilder evacuated(String... domains) {
        evacuatedDomains = List.of(domains);
        return this;
    }

    GatewayUpdateBuilder controlInstances(String... instances) {
        controlInstances = List.of(instances);
        return this;
    }

    GatewayUpdateBuilder traits(TraitUpdate update) {
        traits = update;
        return this;
    }

    GatewayUpdate build() {
        return new GatewayUpdate(
                epoch,
                revision,
                complete,
                stateRevision,
                1,
                new byte[0],
                adapterVersions,
                hasState,
                changed,
                gone,
                otherLoads,
                1,
                controlInstances,
                Optional.empty(),
                traits,
                List.of(),
                List.of(),
                coldStarts,
                evacuatedDomains);
    }
}
