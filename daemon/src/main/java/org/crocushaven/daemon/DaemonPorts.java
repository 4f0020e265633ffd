package org.crocushaven.daemon;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.backend.AnnouncementHandler;
import org.crocushaven.backend.AnnouncementServer;
import org.crocushaven.caller.CallerEnvironment;
import org.crocushaven.caller.CallerServer;
import org.crocushaven.operator.OperatorEnvironment;
import org.crocushaven.operator.OperatorServer;
import org.crocushaven.settings.DaemonSettings;

/** Holds the open ports for the announcements of backend servers, for callers and for operators. */
final class DaemonPorts implements AutoCloseable {
    private final AnnouncementServer announcementServer;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;

    private DaemonPorts(
            AnnouncementServer announcementServer,
            CallerServer callerServer,
            OperatorServer operatorServer) {
        this.announcementServer = announcementServer;
        this.callerServer = callerServer;
        this.operatorServer = operatorServer;
    }

    /** Opens the ports that the settings name. */
    static DaemonPorts open(
            DaemonSettings settings,
            DaemonThreads threads,
            AnnouncementHandler announcements,
            CallerEnvironment callers,
            OperatorEnvironment operators) {
        return new DaemonPorts(
                AnnouncementServer.start(
                        threads.controlLoops(),
                        new InetSocketAddress(settings.host(), settings.announcementPort()),
                        announcements,
                        settings.instance()),
                CallerServer.start(
                        threads.requestLoops(),
                        new InetSocketAddress(settings.host(), settings.callerPort()),
                        callers),
                OperatorServer.start(
                        threads.controlLoops(),
                        new InetSocketAddress(settings.host(), settings.operatorPort()),
                        operators));
    }

    /** Stops accepting requests of callers. */
    void stopAcceptingCallers() {
        callerServer.stopAccepting();
    }

    /** Answers the callers' requests that are still in progress. */
    void endCallersRequests() {
        callerServer.endRequests();
    }

    /** Completes when no caller's connection is open; to be called after the stop. */
    CompletableFuture<Void> whenCallersIdle() {
        return callerServer.whenIdle();
    }

    @Override
    public void close() {
        callerServer.close();
        announcementServer.close();
        operatorServer.close();
    }
}
