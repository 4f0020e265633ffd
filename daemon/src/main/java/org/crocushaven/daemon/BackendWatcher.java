package org.crocushaven.daemon;

import java.util.Optional;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.backend.BackendDirectoryListener;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.coordination.AnnouncedServer;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.dispatch.BackendNotice;
import org.crocushaven.dispatch.DispatcherHost;
import org.crocushaven.dispatch.ReportForward;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.serving.FleetView;

/**
 * Handles the announcements of backend servers to this instance: load reports go to the server's
 * dispatcher, state changes to every instance.
 */
final class BackendWatcher implements BackendDirectoryListener {
    private final InstanceSession session;
    private final FleetView fleet;
    private final DispatcherHost dispatchers;
    private final PeerTransport transport;
    private final FleetBroadcast broadcast;
    private final NanoClock clock;

    BackendWatcher(
            InstanceSession session,
            FleetView fleet,
            DispatcherHost dispatchers,
            PeerTransport transport,
            FleetBroadcast broadcast,
            NanoClock clock) {
        this.session = session;
        this.fleet = fleet;
        this.dispatchers = dispatchers;
        this.transport = transport;
        this.broadcast = broadcast;
        this.clock = clock;
    }

    @Override
    public void registered(BackendServer server) {
        publishStateChange("backend-registered", server, AnnouncedServer.State.SERVING);
    }

    @Override
    public void reported(BackendServer server, LoadReport report) {
        session.recordAnnouncement(
                server,
                report.draining() ? AnnouncedServer.State.DRAINING : AnnouncedServer.State.SERVING);
        if (dispatchers.hosts(server.name())) {
            dispatchers.handleReport(server, report);
            return;
        }
        Optional.ofNullable(fleet.assignments().get(server.name()))
                .map(DispatchAssignment::dispatcher)
                .ifPresent(
                        dispatcher ->
                                transport.send(dispatcher, new ReportForward(server, report)));
    }

    @Override
    public void draining(BackendServer server) {
        publishStateChange("backend-draining", server, AnnouncedServer.State.DRAINING);
    }

    @Override
    public void left(BackendServer server) {
        publishStateChange("backend-left", server, AnnouncedServer.State.LEFT);
    }

    @Override
    public void lost(BackendServer server) {
        log("backend-silent", server);
    }

    /** Applies a state change that a backend server announced here or to another instance. */
    void applyStateChange(AnnouncedServer announced) {
        final String name = announced.server().name();
        final boolean notServing = announced.state() != AnnouncedServer.State.SERVING;
        fleet.setDraining(name, notServing, clock.nanoTime());
        if (notServing) {
            dispatchers.drain(name);
        }
    }

    private void publishStateChange(
            String event, BackendServer server, AnnouncedServer.State state) {
        log(event, server);
        session.recordAnnouncement(server, state);
        final AnnouncedServer announced = new AnnouncedServer(server, state);
        applyStateChange(announced);
        broadcast.send(new BackendNotice(announced));
    }

    private static void log(String event, BackendServer server) {
        EventLine.of(event)
                .with("backend", server.name())
                .with("service", server.service())
                .with("failure_domain", server.failureDomain())
                .with("incarnation", server.incarnation())
                .info();
    }
}
