package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Optional;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.coldstart.ColdGrant;
import org.crocushaven.protocol.Message;

/**
 * The leader's answer to a {@link GatewayReport}; proves that it held the leader's lease.
 *
 * @param epoch term of the leader
 * @param revision revision of the view of the fleet after this update
 * @param complete whether {@code changed} lists all backend servers, so that the gateway removes
 *     all others
 * @param stateRevision revision of the replicated state
 * @param configurationVersion version of the configuration in force
 * @param document the configuration, compressed; empty if the gateway has it
 * @param adapterVersions all required versions; empty if the gateway has them
 * @param hasState whether the gateway's replicated state is outdated; if so, {@code
 *     adapterVersions} is filled, and {@code document} unless the gateway has it
 * @param changed backend servers that changed since the gateway's revision
 * @param gone identifiers of those recorded as gone since then
 * @param otherLoads requests in flight of other gateways, by backend server
 * @param gateways number of gateways that report to this leader
 * @param controlInstances names of the instances that hold control state
 * @param shares answer on organisations' shares; empty while the gateway may not hold any
 * @param traits traits of requests that may end backend servers; nothing if the leader runs
 *     software without this component
 * @param limits backend servers that name limits, and the requests that the gateway may send there;
 *     none if the leader runs software without this component
 * @param relays gateways that can take requests over, if the gateway wants any; none if the leader
 *     runs software without this component
 * @param coldStarts backend servers that are cold, and the requests that the gateway may send
 *     there; none if the leader runs software without this component
 * @param evacuatedDomains failure domains to which nothing may be sent; none if the leader runs
 *     software without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GatewayUpdate(
        long epoch,
        long revision,
        boolean complete,
        long stateRevision,
        long configurationVersion,
        byte[] document,
        List<AdapterVersion> adapterVersions,
        boolean hasState,
        List<BackendRecord> changed,
        List<String> gone,
        List<BackendLoad> otherLoads,
        int gateways,
        List<String> controlInstances,
        Optional<ShareGrant> shares,
        TraitUpdate traits,
        List<LimitGrant> limits,
        List<Relay> relays,
        List<ColdGrant> coldStarts,
        List<String> evacuatedDomains)
        implements Message {
    public GatewayUpdate {
        adapterVersions = List.copyOf(adapterVersions);
        changed = List.copyOf(changed);
        gone = List.copyOf(gone);
        otherLoads = List.copyOf(otherLoads);
        controlInstances = List.copyOf(controlInstances);
        traits = traits == null ? TraitUpdate.EMPTY : traits;
        limits = limits == null ? List.of() : List.copyOf(limits);
        relays = relays == null ? List.of() : List.copyOf(relays);
        coldStarts = coldStarts == null ? List.of() : List.copyOf(coldStarts);
        evacuatedDomains = evacuatedDomains == null ? List.of() : List.copyOf(evacuatedDomains);
    }
}
