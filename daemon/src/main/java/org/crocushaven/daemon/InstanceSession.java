package org.crocushaven.daemon;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.coordination.AnnouncedServer;
import org.crocushaven.coordination.FleetTable;
import org.crocushaven.coordination.HeldAssignment;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.coordination.SessionState;
import org.crocushaven.dispatch.DispatcherHost;
import org.crocushaven.serving.FleetView;
import org.crocushaven.serving.ShareGate;

/** Supplies what this instance reports to the leader, and applies the leader's answers. */
final class InstanceSession implements SessionState {
    private final String instance;
    private final FleetView fleet;
    private final DispatcherHost dispatchers;
    private final ShareGate shares;
    private final NanoClock clock;
    private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();

    InstanceSession(
            String instance,
            FleetView fleet,
            DispatcherHost dispatchers,
            ShareGate shares,
            NanoClock clock) {
        this.instance = instance;
        this.fleet = fleet;
        this.dispatchers = dispatchers;
        this.shares = shares;
        this.clock = clock;
    }

    /**
     * Records an announcement of a backend server to this instance. Within one incarnation the
     * state never returns to an earlier one.
     */
    void recordAnnouncement(BackendServer server, AnnouncedServer.State state) {
        announcements.compute(
                server.name(),
                (name, previous) -> {
                    final boolean sameIncarnation =
                            previous != null
                                    && previous.announced.server().incarnation()
                                            == server.incarnation();
                    final AnnouncedServer.State kept =
                            sameIncarnation && previous.announced.state().compareTo(state) > 0
                                    ? previous.announced.state()
                                    : state;
                    return new Announcement(new AnnouncedServer(server, kept), clock.nanoTime());
                });
    }

    @Override
    public List<AnnouncedServer> announcedServers() {
        final long oldestNanos =
                clock.nanoTime()
                        - TimeUnit.MILLISECONDS.toNanos(
                                SessionSettings.DEFAULT_ANNOUNCEMENT_VALIDITY_MILLIS);
        announcements.values().removeIf(entry -> entry.receivedNanos - oldestNanos < 0);
        return announcements.values().stream().map(Announcement::announced).toList();
    }

    @Override
    public List<HeldAssignment> heldLeases() {
        return dispatchers.heldLeases();
    }

    @Override
    public ShareReport shareReport() {
        return shares.report();
    }

    @Override
    public void applyShares(ShareGrant grant) {
        shares.apply(grant);
    }

    @Override
    public long fleetRevision() {
        return fleet.revision();
    }

    @Override
    public void applyFleet(FleetTable table) {
        synchronized (dispatchers) {
            if (fleet.apply(table, clock.nanoTime())) {
                dispatchers.apply(
                        table.assignments().stream()
                                .filter(assignment -> assignment.dispatcher().equals(instance))
                                .toList());
            }
        }
    }

    @Override
    public void sessionLost() {
        dispatchers.dropAll();
    }

    private record Announcement(AnnouncedServer announced, long receivedNanos) {}
}
