package org.crocushaven.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.placement.DispatcherSettings;
import org.crocushaven.protocol.PeerTransport;

/** Asks instances which permits they hold, and corrects the dispatchers by their answers. */
final class PermitReconciliation {
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(800);

    private final PeerTransport transport;
    private final NanoClock clock;

    PermitReconciliation(PeerTransport transport, NanoClock clock) {
        this.transport = transport;
        this.clock = clock;
    }

    /**
     * Asks the instances that may hold permits of a dispatcher: all while it is newly assigned,
     * later only those with a known permit.
     */
    void queryHolders(HostedDispatcher hosted, List<String> reachableInstances, long nowNanos) {
        final boolean recentlyAssigned =
                nowNanos - hosted.createdNanos()
                        < DispatcherSettings.defaults().redeclareWindowNanos();
        reachableInstances.stream()
                .filter(instance -> recentlyAssigned || hosted.mayHoldPermits(instance))
                .forEach(instance -> query(hosted, instance));
    }

    private void query(HostedDispatcher hosted, String holder) {
        final long queriedNanos = clock.nanoTime();
        transport
                .request(holder, new PermitQuery(hosted.server().name()), QUERY_TIMEOUT)
                .thenAccept(
                        answer -> reconcile(hosted, holder, (PermitsHeld) answer, queriedNanos));
    }

    /**
     * Reconciles the permits of a holder. A permit that was granted before the query and is neither
     * held nor pending was lost.
     */
    private void reconcile(
            HostedDispatcher hosted, String holder, PermitsHeld answer, long queriedNanos) {
        final long nowNanos = clock.nanoTime();
        final Set<String> identifiers = new HashSet<>(answer.pending());
        answer.permits().forEach(permit -> identifiers.add(permit.requestId()));
        hosted.run(
                dispatcher -> {
                    answer.permits()
                            .forEach(
                                    permit ->
                                            dispatcher.redeclarePermit(
                                                    holder,
                                                    permit.requestId(),
                                                    permit.version(),
                                                    nowNanos + permit.remainingNanos(),
                                                    nowNanos));
                    dispatcher.reconcilePermits(holder, identifiers, queriedNanos, nowNanos);
                });
        if (identifiers.isEmpty()) {
            hosted.removePermitHolder(holder, queriedNanos);
        } else {
            hosted.recordPermitHolder(holder, nowNanos);
        }
    }
}
