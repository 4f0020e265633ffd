package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.coldstart.ColdUse;
import org.crocushaven.protocol.Message;

/**
 * A gateway's report to the leader, sent several times a second; answered by {@link GatewayUpdate}.
 *
 * @param gateway name of the gateway
 * @param epoch term of the leader that sent the gateway its view of the fleet; 0 if it has none
 * @param revision revision of that view
 * @param configurationVersion version of the configuration that it has; 0 if it has none
 * @param stateRevision revision of the replicated state that it has
 * @param loads its requests in flight, by backend server
 * @param uses adapters that it used since the last acknowledged report
 * @param shares its report on organisations' shares
 * @param streams streams that began since the last acknowledged report; none if the gateway runs
 *     software without this component
 * @param traits what it knows of traits of requests that may end backend servers; nothing if the
 *     gateway runs software without this component
 * @param limits backend servers that name limits; none if the gateway runs software without this
 *     component
 * @param paths its paths to backend servers; nothing if the gateway runs software without this
 *     component
 * @param coldStarts backend servers that are cold or in doubt; none if the gateway runs software
 *     without this component
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GatewayReport(
        String gateway,
        long epoch,
        long revision,
        long configurationVersion,
        long stateRevision,
        List<BackendLoad> loads,
        List<AdapterUse> uses,
        ShareReport shares,
        List<BegunStreams> streams,
        TraitReport traits,
        List<LimitUse> limits,
        PathReport paths,
        List<ColdUse> coldStarts)
        implements Message {
    public GatewayReport {
        loads = List.copyOf(loads);
        uses = List.copyOf(uses);
        streams = streams == null ? List.of() : List.copyOf(streams);
        traits = traits == null ? TraitReport.EMPTY : traits;
        limits = limits == null ? List.of() : List.copyOf(limits);
        paths = paths == null ? PathReport.EMPTY : paths;
        coldStarts = coldStarts == null ? List.of() : List.copyOf(coldStarts);
    }
}
