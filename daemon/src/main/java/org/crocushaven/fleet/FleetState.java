package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.crocushaven.consensus.StateMachine;
import org.crocushaven.evacuation.Evacuation;
import org.crocushaven.evacuation.EvacuationChange;
import org.crocushaven.evacuation.EvacuationOrder;
import org.crocushaven.evacuation.Evacuations;
import org.crocushaven.protocol.MessageCodec;

/**
 * The replicated state of a fleet: the newest configuration, the newest adapter versions, the
 * gateways that may hold shares, the backend servers that leave, the verdicts on traits of
 * requests, the software versions in use, and the evacuations of failure domains.
 *
 * <p>A configuration or adapter version that is not higher than the current one changes nothing.
 * Thread-safe; guarded by its own monitor.
 */
public final class FleetState implements StateMachine {
    /** Result of a command that was refused, because it came too late. */
    private static final byte[] REFUSED = {1};

    private static final byte[] NO_RESULT = new byte[0];
    private static final byte[] NO_DOCUMENT = new byte[0];

    private final Map<String, AdapterVersion> adapterVersions = new TreeMap<>();
    private long configurationVersion;
    private byte[] document = NO_DOCUMENT;
    private long revision;
    private List<AdapterVersion> adapterVersionList = List.of();
    private final Set<String> gateways = new TreeSet<>();
    private Set<String> gatewaysView = Set.of();
    private final Map<String, BackendAnnouncement> departures = new TreeMap<>();
    private final Map<List<Long>, TraitVerdict> verdicts = new LinkedHashMap<>();
    private List<TraitVerdict> verdictList = List.of();
    private final Evacuations evacuations = Evacuations.none();
    private volatile SoftwareVersionsInUse softwareVersions = SoftwareVersionsInUse.NONE_KNOWN;

    /** The last term that began, as far as applied. */
    private long currentTerm;

    /** Returns a state without configuration. */
    public static FleetState create() {
        return new FleetState();
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        final FleetCommand decoded = MessageCodec.decodeValue(command, FleetCommand.class);
        if (decoded.configurationVersion() > configurationVersion) {
            configurationVersion = decoded.configurationVersion();
            document = decoded.document();
            revision = index;
        }
        for (final AdapterVersion required : decoded.adapterVersions()) {
            applyVersion(required, index);
        }
        applyGateways(decoded.gatewaysAdded(), decoded.gatewaysRemoved());
        decoded.departuresAdded().forEach(this::applyDeparture);
        decoded.departuresRemoved()
                .forEach(departure -> departures.remove(departure.backend(), departure));
        applyVerdicts(decoded.verdicts(), index);
        if (decoded.softwareVersions() != null) {
            applySoftwareVersions(decoded.softwareVersions());
        }
        return applyEvacuations(decoded.evacuations(), index) ? NO_RESULT : REFUSED;
    }

    @Override
    public synchronized byte[] snapshot() {
        return MessageCodec.encodeValue(
                new FleetCommand(
                        configurationVersion,
                        document,
                        List.copyOf(adapterVersions.values()),
                        List.copyOf(gateways),
                        List.of(),
                        List.copyOf(departures.values()),
                        List.of(),
                        new VerdictChange(verdictList, List.of()),
                        softwareVersionsOfSnapshot(),
                        revision,
                        EvacuationChange.ofSnapshot(evacuations.all())));
    }

    @Override
    public synchronized void restore(long index, byte[] snapshot) {
        adapterVersions.clear();
        gateways.clear();
        gatewaysView = Set.of();
        departures.clear();
        verdicts.clear();
        verdictList = List.of();
        softwareVersions = SoftwareVersionsInUse.NONE_KNOWN;
        evacuations.restore(List.of());
        currentTerm = 0;
        configurationVersion = 0;
        document = NO_DOCUMENT;
        apply(index, snapshot);
        adapterVersionList = new ArrayList<>(adapterVersions.values());
        final long stored =
                MessageCodec.decodeValue(snapshot, FleetCommand.class).snapshotRevision();
        revision = stored == 0 ? index : stored;
    }

    /** Returns the current state. */
    public synchronized View view() {
        return new View(
                revision,
                configurationVersion,
                document,
                adapterVersionList,
                verdictList,
                evacuations.all());
    }

    /** Returns whether a result is that of a command that was refused. */
    static boolean isRefused(byte[] result) {
        return Arrays.equals(result, REFUSED);
    }

    /** Returns the last evacuation of a failure domain. */
    synchronized Evacuation evacuation(String failureDomain) {
        return evacuations.find(failureDomain);
    }

    /** Returns whether each failure domain is now in the ordered state. */
    private boolean applyEvacuations(EvacuationChange change, long index) {
        if (!change.held().isEmpty()) {
            evacuations.restore(change.held());
        }
        boolean applied = true;
        for (final EvacuationOrder order : change.orders()) {
            applied &= evacuations.apply(order, index);
            revision = index;
        }
        return applied;
    }

    /** Returns the gateways that may hold shares. */
    public synchronized Set<String> gateways() {
        return gatewaysView;
    }

    /**
     * A leader that has committed no versions may have told gateways of any, since its software did
     * not know how or it was lost before; those of its predecessors are not all, then.
     */
    @Override
    public synchronized void termBegan(long term) {
        if (softwareVersions.term() != currentTerm) {
            softwareVersions = softwareVersions.incomplete();
        }
        currentTerm = term;
    }

    /** A snapshot does not say that a term began after the versions were committed. */
    private SoftwareVersionsInUse softwareVersionsOfSnapshot() {
        return softwareVersions.term() == currentTerm
                ? softwareVersions
                : softwareVersions.incomplete();
    }

    /** Without a configuration no gateway has had a route, so that no version was in use. */
    private void applySoftwareVersions(SoftwareVersionsInUse applied) {
        softwareVersions =
                new SoftwareVersionsInUse(
                        applied.term(),
                        applied.complete() || configurationVersion == 0,
                        applied.versions());
        currentTerm = Math.max(currentTerm, applied.term());
    }

    /** Returns the software versions at which streams may be under way. */
    SoftwareVersionsInUse softwareVersions() {
        return softwareVersions;
    }

    private void applyGateways(List<String> added, List<String> removed) {
        final boolean isLarger = gateways.addAll(added);
        final boolean isSmaller = gateways.removeAll(Set.copyOf(removed));
        if (isLarger || isSmaller) {
            gatewaysView = Set.copyOf(gateways);
        }
    }

    /** Returns the last announcements of backend servers that leave or have left. */
    public synchronized List<BackendAnnouncement> departures() {
        return List.copyOf(departures.values());
    }

    /**
     * Returns whether it is known that a backend server leaves; its later announcements of the same
     * state add nothing.
     */
    public synchronized boolean knowsDeparture(BackendAnnouncement departure) {
        final BackendAnnouncement known = departures.get(departure.backend());
        return known != null
                && (!departure.isNewerThan(known)
                        || departure.startedMillis() == known.startedMillis()
                                && departure.state() == known.state());
    }

    private void applyDeparture(BackendAnnouncement departure) {
        final BackendAnnouncement known = departures.get(departure.backend());
        if (known == null || departure.isNewerThan(known)) {
            departures.put(departure.backend(), departure);
        }
    }

    private void applyVerdicts(VerdictChange change, long index) {
        if (change.isEmpty()) {
            return;
        }
        change.removed().forEach(verdicts::remove);
        change.put().forEach(verdict -> verdicts.put(verdict.traits(), verdict));
        verdictList = List.copyOf(verdicts.values());
        revision = index;
    }

    private void applyVersion(AdapterVersion required, long index) {
        final String key = required.model() + '/' + required.adapter();
        final AdapterVersion known = adapterVersions.get(key);
        if (known == null || required.version() > known.version()) {
            adapterVersions.put(key, required);
            adapterVersionList = List.copyOf(adapterVersions.values());
            revision = index;
        }
    }

    /**
     * A consistent view of the state.
     *
     * @param revision index of the entry that last changed it; 0 when none has
     * @param configurationVersion version of the configuration; 0 when none is known
     * @param document the configuration as the operator sent it, compressed
     * @param adapterVersions versions that the operator requires
     * @param verdicts verdicts on traits of requests
     * @param evacuations the last evacuation of each failure domain that ever had one
     */
    public record View(
            long revision,
            long configurationVersion,
            byte[] document,
            List<AdapterVersion> adapterVersions,
            List<TraitVerdict> verdicts,
            List<Evacuation> evacuations) {
        /** Returns the failure domains that are evacuated. */
        List<String> evacuatedDomains() {
            return evacuations.stream()
                    .filter(Evacuation::underWay)
                    .map(Evacuation::failureDomain)
                    .toList();
        }
    }
}
