package org.crocushaven.coordination;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.protocol.Message;

/**
 * Renews an instance's session with the leader; answered by {@link SessionAnswer} or {@link
 * LeaderHint}.
 *
 * @param instance name of the instance
 * @param failureDomain its failure domain
 * @param incarnation its incarnation
 * @param fleetRevision revision of the fleet table that it applied last
 * @param leaving whether it has returned its dispatcher leases and is about to stop
 * @param announcedServers the backend servers that announced themselves to it recently
 * @param heldLeases the dispatcher leases that it holds
 * @param shares its report on organisations' shares
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SessionHeartbeat(
        String instance,
        String failureDomain,
        long incarnation,
        long fleetRevision,
        boolean leaving,
        List<AnnouncedServer> announcedServers,
        List<HeldAssignment> heldLeases,
        ShareReport shares)
        implements Message {
    public SessionHeartbeat {
        announcedServers = List.copyOf(announcedServers);
        heldLeases = List.copyOf(heldLeases);
    }
}
