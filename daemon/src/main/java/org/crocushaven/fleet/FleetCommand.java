package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.evacuation.EvacuationChange;
import org.crocushaven.evacuation.EvacuationOrder;

/**
 * A change of the replicated state of a fleet.
 *
 * @param configurationVersion version of the contained configuration; 0 if there is none
 * @param document the configuration as the operator sent it, compressed
 * @param adapterVersions adapter versions that the operator requires
 * @param gatewaysAdded gateways that may hold shares from now on
 * @param gatewaysRemoved gateways that no longer hold shares
 * @param departuresAdded announcements of backend servers that leave or have left
 * @param departuresRemoved those that no longer have to be remembered
 * @param verdicts change of the verdicts on traits of requests
 * @param softwareVersions software versions in use; null if the command does not change them
 * @param snapshotRevision revision of the state of which this is a snapshot; 0 in a change, and in
 *     snapshots of software without this component
 * @param evacuations change of the evacuations of failure domains
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record FleetCommand(
        long configurationVersion,
        byte[] document,
        List<AdapterVersion> adapterVersions,
        List<String> gatewaysAdded,
        List<String> gatewaysRemoved,
        List<BackendAnnouncement> departuresAdded,
        List<BackendAnnouncement> departuresRemoved,
        VerdictChange verdicts,
        SoftwareVersionsInUse softwareVersions,
        long snapshotRevision,
        EvacuationChange evacuations) {
    private static final byte[] NO_DOCUMENT = new byte[0];

    public FleetCommand {
        adapterVersions = List.copyOf(adapterVersions);
        gatewaysAdded = List.copyOf(gatewaysAdded);
        gatewaysRemoved = List.copyOf(gatewaysRemoved);
        departuresAdded = copyOrEmpty(departuresAdded);
        departuresRemoved = copyOrEmpty(departuresRemoved);
        verdicts = verdicts == null ? VerdictChange.NONE : verdicts;
        evacuations = evacuations == null ? EvacuationChange.NONE : evacuations;
    }

    /** Copies a list; one that was stored before the component existed is null. */
    private static <T> List<T> copyOrEmpty(List<T> stored) {
        return stored == null ? List.of() : List.copyOf(stored);
    }

    /** Returns the command that puts a configuration in force. */
    public static FleetCommand configuration(long version, byte[] document) {
        return new FleetCommand(
                version,
                document,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                VerdictChange.NONE,
                null,
                0,
                EvacuationChange.NONE);
    }

    /** Returns the command that requires a version of an adapter. */
    public static FleetCommand adapterVersion(AdapterVersion version) {
        return new FleetCommand(
                0,
                NO_DOCUMENT,
                List.of(version),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                VerdictChange.NONE,
                null,
                0,
                EvacuationChange.NONE);
    }

    /** Returns the command that changes which gateways may hold shares. */
    public static FleetCommand gateways(List<String> added, List<String> removed) {
        return new FleetCommand(
                0,
                NO_DOCUMENT,
                List.of(),
                added,
                removed,
                List.of(),
                List.of(),
                VerdictChange.NONE,
                null,
                0,
                EvacuationChange.NONE);
    }

    /** Returns the command that changes which departures of backend servers are remembered. */
    public static FleetCommand departures(
            List<BackendAnnouncement> added, List<BackendAnnouncement> removed) {
        return new FleetCommand(
                0,
                NO_DOCUMENT,
                List.of(),
                List.of(),
                List.of(),
                added,
                removed,
                VerdictChange.NONE,
                null,
                0,
                EvacuationChange.NONE);
    }

    /** Returns the command that changes the verdicts on traits of requests. */
    public static FleetCommand verdicts(VerdictChange change) {
        return withoutLists(change, null, EvacuationChange.NONE);
    }

    /** Returns the command that changes which software versions may be in use. */
    public static FleetCommand softwareVersions(SoftwareVersionsInUse versions) {
        return withoutLists(VerdictChange.NONE, versions, EvacuationChange.NONE);
    }

    /** Returns the command that begins or takes back an evacuation. */
    public static FleetCommand evacuation(EvacuationOrder order) {
        return withoutLists(VerdictChange.NONE, null, EvacuationChange.of(order));
    }

    private static FleetCommand withoutLists(
            VerdictChange verdicts,
            SoftwareVersionsInUse softwareVersions,
            EvacuationChange evacuations) {
        return new FleetCommand(
                0,
                NO_DOCUMENT,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                verdicts,
                softwareVersions,
                0,
                evacuations);
    }
}
