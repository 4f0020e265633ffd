package org.crocushaven.daemon;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.backend.BackendDirectory;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.dispatch.DispatcherHost;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipListener;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.security.ActiveRequests;
import org.crocushaven.security.FreshnessBound;
import org.crocushaven.serving.FleetView;
import org.crocushaven.serving.PermitClient;

/**
 * Runs this instance's periodic tasks for backend servers, dispatchers and permits, and expires the
 * permits of instances that have become unreachable.
 */
final class FleetMaintenance implements MembershipListener {
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long PERMIT_HOLDER_QUERY_INTERVAL_MILLIS = 1_000;
    private static final long MAXIMUM_CONTROL_STATE_AGE_MILLIS = 10_000;
    private static final long PERMIT_HOLDER_EXPIRY_MILLIS =
            SessionSettings.DEFAULT_LEASE_MILLIS + SessionSettings.DEFAULT_DRIFT_MILLIS;

    private final MembershipView membership;
    private final BackendDirectory directory;
    private final FleetView fleet;
    private final DispatcherHost dispatchers;
    private final PermitClient permits;
    private final ActiveRequests activeRequests;
    private final FreshnessBound freshness;
    private final FleetBroadcast broadcast;
    private final ScheduledExecutorService timers;
    private final NanoClock clock;

    FleetMaintenance(
            MembershipView membership,
            BackendDirectory directory,
            FleetView fleet,
            DispatcherHost dispatchers,
            PermitClient permits,
            ActiveRequests activeRequests,
            FreshnessBound freshness,
            FleetBroadcast broadcast,
            ScheduledExecutorService timers,
            NanoClock clock) {
        this.membership = membership;
        this.directory = directory;
        this.fleet = fleet;
        this.dispatchers = dispatchers;
        this.permits = permits;
        this.activeRequests = activeRequests;
        this.freshness = freshness;
        this.broadcast = broadcast;
        this.timers = timers;
        this.clock = clock;
    }

    /** Starts the periodic tasks. */
    void start() {
        timers.scheduleAtFixedRate(
                GuardedTask.of(this::tick),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timers.scheduleAtFixedRate(
                GuardedTask.of(this::queryHolders),
                PERMIT_HOLDER_QUERY_INTERVAL_MILLIS,
                PERMIT_HOLDER_QUERY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void changed(InstanceRecord record) {
        if (record.state() == InstanceRecord.State.SUSPECT || !record.state().isReachable()) {
            permits.dispatcherSuspected(record.name());
        }
        if (!record.state().isReachable()) {
            timers.schedule(
                    () -> expirePermitHolder(record.name()),
                    PERMIT_HOLDER_EXPIRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        cancelRequestsOnStaleControlState();
        directory.markLostServers();
        fleet.refreshAll(clock.nanoTime());
        dispatchers.tick(
                summary -> {
                    fleet.apply(summary, clock.nanoTime());
                    broadcast.send(summary);
                });
    }

    /**
     * Cancels the requests with a key when the control state has become too old, because this
     * instance may have missed the withdrawal of their keys.
     */
    private void cancelRequestsOnStaleControlState() {
        if (freshness.ageMillis() > MAXIMUM_CONTROL_STATE_AGE_MILLIS
                && activeRequests.count() > 0) {
            activeRequests.cancelAll(
                    ResultException.of(ResultCode.CONTROL_STATE_STALE, freshness.ageMillis())
                            .withExecution(Execution.UNKNOWN));
        }
    }

    private void queryHolders() {
        dispatchers.queryPermitHolders(
                membership.instances().stream()
                        .filter(record -> record.state().isReachable())
                        .map(InstanceRecord::name)
                        .toList());
    }

    private void expirePermitHolder(String instance) {
        membership
                .find(instance)
                .filter(record -> !record.state().isReachable())
                .ifPresent(record -> dispatchers.handleHolderExpired(instance));
    }
}
