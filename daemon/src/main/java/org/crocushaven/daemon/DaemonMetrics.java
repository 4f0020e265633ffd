package org.crocushaven.daemon;

import java.nio.charset.StandardCharsets;
import org.crocushaven.observability.Metrics;
import org.crocushaven.operator.MetricsSource;
import org.crocushaven.protocol.TcpPeerTransport;
import org.crocushaven.serving.PermitClient;
import org.crocushaven.serving.RequestCoordinator;

/** Serves the daemon's metrics; some of them are updated only when they are scraped. */
final class DaemonMetrics implements MetricsSource {
    private final Metrics metrics;
    private final TcpPeerTransport transport;
    private final ControlNode control;
    private final RequestCoordinator coordinator;
    private final PermitClient permits;
    private long reportedSentBytes;
    private long reportedReceivedBytes;

    DaemonMetrics(
            Metrics metrics,
            TcpPeerTransport transport,
            ControlNode control,
            RequestCoordinator coordinator,
            PermitClient permits) {
        this.metrics = metrics;
        this.transport = transport;
        this.control = control;
        this.coordinator = coordinator;
        this.permits = permits;
    }

    @Override
    public String mediaType() {
        return Metrics.MEDIA_TYPE;
    }

    @Override
    public synchronized byte[] scrape() {
        final long sent = transport.sentBytes();
        final long received = transport.receivedBytes();
        metrics.recordControlBytesSent(sent - reportedSentBytes);
        metrics.recordControlBytesReceived(received - reportedReceivedBytes);
        reportedSentBytes = sent;
        reportedReceivedBytes = received;
        metrics.setLeader(control.isLeader(ControlGroups.CONFIGURATION));
        metrics.setSessions(control.sessions().size());
        metrics.setInFlight(coordinator.inFlight(), permits.heldCount());
        return metrics.scrape().getBytes(StandardCharsets.UTF_8);
    }
}
