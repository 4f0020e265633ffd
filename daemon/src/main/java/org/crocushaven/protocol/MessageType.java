package org.crocushaven.protocol;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocushaven.admission.LoadGrant;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.consensus.AppendRequest;
import org.crocushaven.consensus.AppendResponse;
import org.crocushaven.consensus.SnapshotChunk;
import org.crocushaven.consensus.SnapshotResponse;
import org.crocushaven.consensus.VoteRequest;
import org.crocushaven.consensus.VoteResponse;
import org.crocushaven.coordination.ConfigurationPage;
import org.crocushaven.coordination.ConfigurationPull;
import org.crocushaven.coordination.LeaderHint;
import org.crocushaven.coordination.LoadRelease;
import org.crocushaven.coordination.ProposalForward;
import org.crocushaven.coordination.ProposalResult;
import org.crocushaven.coordination.SessionAnswer;
import org.crocushaven.coordination.SessionHeartbeat;
import org.crocushaven.coordination.StopOrder;
import org.crocushaven.coordination.VoterChange;
import org.crocushaven.dispatch.BackendNotice;
import org.crocushaven.dispatch.PermitAnswer;
import org.crocushaven.dispatch.PermitAsk;
import org.crocushaven.dispatch.PermitCancel;
import org.crocushaven.dispatch.PermitQuery;
import org.crocushaven.dispatch.PermitReturn;
import org.crocushaven.dispatch.PermitsHeld;
import org.crocushaven.dispatch.ReportForward;
import org.crocushaven.evacuation.Evacuation;
import org.crocushaven.evacuation.EvacuationQuery;
import org.crocushaven.fleet.AdapterGrant;
import org.crocushaven.fleet.AdapterRequest;
import org.crocushaven.fleet.AnnouncementAcknowledged;
import org.crocushaven.fleet.BackendAnnouncement;
import org.crocushaven.fleet.ControlHint;
import org.crocushaven.fleet.ControlJoin;
import org.crocushaven.fleet.FleetDocument;
import org.crocushaven.fleet.FleetProposal;
import org.crocushaven.fleet.FleetProposalDone;
import org.crocushaven.fleet.FleetRead;
import org.crocushaven.fleet.FleetUpdateNotice;
import org.crocushaven.fleet.GatewayReport;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.StreamOriginAnswer;
import org.crocushaven.fleet.StreamOriginQuery;
import org.crocushaven.membership.Gossip;
import org.crocushaven.observability.ExplainAnswer;
import org.crocushaven.observability.ExplainQuery;
import org.crocushaven.placement.BackendSummary;

/**
 * Assigns each message type its number on the wire.
 *
 * <p>Ranges: 1 to 19 transport and membership, 20 to 39 replicated log, 40 to 59 distribution of
 * control state, 60 to 79 permits and backend state, 80 to 99 shares and load budget, 100 to 119
 * claims, 120 to 139 gateways.
 */
public enum MessageType {
    HELLO(1, Hello.class),
    FAILURE(2, Failure.class),
    GOSSIP(3, Gossip.class),
    VOTE_REQUEST(20, VoteRequest.class),
    VOTE_RESPONSE(21, VoteResponse.class),
    APPEND_REQUEST(22, AppendRequest.class),
    APPEND_RESPONSE(23, AppendResponse.class),
    SNAPSHOT_CHUNK(24, SnapshotChunk.class),
    SNAPSHOT_RESPONSE(25, SnapshotResponse.class),
    SESSION_HEARTBEAT(40, SessionHeartbeat.class),
    SESSION_ANSWER(41, SessionAnswer.class),
    LEADER_HINT(42, LeaderHint.class),
    CONFIGURATION_PULL(43, ConfigurationPull.class),
    CONFIGURATION_PAGE(44, ConfigurationPage.class),
    PROPOSAL_FORWARD(45, ProposalForward.class),
    PROPOSAL_RESULT(46, ProposalResult.class),
    VOTER_CHANGE(47, VoterChange.class),
    EXPLAIN_QUERY(48, ExplainQuery.class),
    EXPLAIN_ANSWER(49, ExplainAnswer.class),
    STOP_ORDER(50, StopOrder.class),
    PERMIT_ASK(60, PermitAsk.class),
    PERMIT_ANSWER(61, PermitAnswer.class),
    PERMIT_CANCEL(62, PermitCancel.class),
    PERMIT_RETURN(63, PermitReturn.class),
    PERMIT_QUERY(64, PermitQuery.class),
    PERMITS_HELD(65, PermitsHeld.class),
    REPORT_FORWARD(66, ReportForward.class),
    BACKEND_NOTICE(67, BackendNotice.class),
    BACKEND_SUMMARY(68, BackendSummary.class),
    LOAD_REQUEST(80, LoadRequest.class),
    LOAD_GRANT(81, LoadGrant.class),
    LOAD_RELEASE(82, LoadRelease.class),
    BACKEND_ANNOUNCEMENT(120, BackendAnnouncement.class),
    ANNOUNCEMENT_TAKEN(121, AnnouncementAcknowledged.class),
    GATEWAY_REPORT(122, GatewayReport.class),
    GATEWAY_UPDATE(123, GatewayUpdate.class),
    CONTROL_HINT(124, ControlHint.class),
    ADAPTER_ASK(125, AdapterRequest.class),
    ADAPTER_GRANT(126, AdapterGrant.class),
    CONTROL_JOIN(127, ControlJoin.class),
    FLEET_NUDGE(128, FleetUpdateNotice.class),
    FLEET_PROPOSAL(129, FleetProposal.class),
    FLEET_PROPOSAL_DONE(130, FleetProposalDone.class),
    FLEET_READ(131, FleetRead.class),
    FLEET_DOCUMENT(132, FleetDocument.class),
    STREAM_ORIGIN_QUERY(133, StreamOriginQuery.class),
    STREAM_ORIGIN_ANSWER(134, StreamOriginAnswer.class),
    EVACUATION_QUERY(135, EvacuationQuery.class),
    EVACUATION(136, Evacuation.class);

    private static final Map<Integer, MessageType> BY_NUMBER =
            Arrays.stream(values())
                    .collect(Collectors.toMap(MessageType::number, Function.identity()));
    private static final Map<Class<?>, MessageType> BY_CLASS =
            Arrays.stream(values())
                    .collect(Collectors.toMap(MessageType::messageClass, Function.identity()));

    private final int number;
    private final Class<? extends Message> messageClass;

    MessageType(int number, Class<? extends Message> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    /** Returns the type with the given number, or empty if there is none. */
    public static Optional<MessageType> fromNumber(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    /** Returns the type of a message. */
    public static MessageType of(Message message) {
        final MessageType type = BY_CLASS.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException(
                    "no message type is defined for " + message.getClass());
        }
        return type;
    }

    /** Returns the number on the wire. */
    public int number() {
        return number;
    }

    /** Returns the record class of the messages of this type. */
    public Class<? extends Message> messageClass() {
        return messageClass;
    }
}
