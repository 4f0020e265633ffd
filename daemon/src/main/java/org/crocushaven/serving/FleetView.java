package org.crocushaven.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.coordination.DispatchAssignment;
import org.crocushaven.coordination.FleetTable;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.routing.AffinityRouting;
import org.crocushaven.routing.AffinitySettings;
import org.crocushaven.routing.OutlierEjection;
import org.crocushaven.routing.RetryBudget;
import org.crocushaven.routing.RouteQuery;
import org.crocushaven.routing.RoutingDecision;
import org.crocushaven.routing.RoutingPolicy;
import org.crocushaven.routing.RoutingTable;

/**
 * Holds what this instance knows about the backend servers, and chooses among them.
 *
 * <p>Thread-safe: lock rank 40 guards the routing table and the classes that use it for decisions.
 */
public final class FleetView {
    private static final double RETRIES_PER_REQUEST = 0.2;

    private final MembershipView membership;
    private final RoutingTable table = RoutingTable.create();
    private final RoutingPolicy policy;
    private final OutlierEjection ejection = OutlierEjection.create();
    private final RetryBudget retries;
    private final Map<String, DispatchAssignment> assignments = new HashMap<>();
    private final Set<String> drainingServers = new HashSet<>();
    private long revision;

    private FleetView(MembershipView membership, long seed, long nowNanos) {
        this.membership = membership;
        this.policy =
                AffinityRouting.create(
                        table, AffinitySettings.defaults(), new SplittableRandom(seed));
        this.retries = RetryBudget.create(RETRIES_PER_REQUEST, nowNanos);
    }

    /** Returns a view without backend servers. */
    public static FleetView create(MembershipView membership, long seed, long nowNanos) {
        return new FleetView(membership, seed, nowNanos);
    }

    /** Returns the revision of the fleet table that was applied last. */
    public synchronized long revision() {
        return revision;
    }

    /** Applies a fleet table if it is newer than the current one; returns whether it was. */
    public synchronized boolean apply(FleetTable fleet, long nowNanos) {
        if (fleet.revision() <= revision) {
            return false;
        }
        revision = fleet.revision();
        final Set<String> absent = new HashSet<>(assignments.keySet());
        for (final DispatchAssignment assignment : fleet.assignments()) {
            absent.remove(assignment.server().name());
            assign(assignment, nowNanos);
        }
        absent.forEach(this::forget);
        return true;
    }

    /** Applies the summary that a dispatcher sent about its backend server. */
    public synchronized void apply(BackendSummary summary, long nowNanos) {
        table.apply(summary);
        final DispatchAssignment assignment = assignments.get(summary.name());
        if (assignment != null) {
            table.setDispatcher(summary.name(), assignment.dispatcher());
        }
        refresh(summary.name(), nowNanos);
    }

    /**
     * Records whether a backend server accepts new work.
     *
     * @param draining true when it is draining or has left; false when it serves again after a
     *     restart
     */
    public synchronized void setDraining(String backendServer, boolean draining, long nowNanos) {
        if (draining) {
            drainingServers.add(backendServer);
        } else {
            drainingServers.remove(backendServer);
        }
        refresh(backendServer, nowNanos);
    }

    /** Returns the address and properties of a backend server. */
    public synchronized Optional<BackendServer> server(String name) {
        return Optional.ofNullable(assignments.get(name)).map(DispatchAssignment::server);
    }

    /** Returns the known assignments by name of the backend server. */
    public synchronized Map<String, DispatchAssignment> assignments() {
        return Map.copyOf(assignments);
    }

    /** Returns the last applied summary of a backend server. */
    public synchronized Optional<BackendSummary> summary(String name) {
        return table.view(name).map(view -> view.summary());
    }

    /**
     * Returns whether a service has a backend server whose dispatcher is not alive: it does not
     * answer, or it is leaving and has returned its lease. The leader is then expected to assign
     * another one.
     */
    public synchronized boolean awaitsDispatcher(String service) {
        return assignments.values().stream()
                .filter(assignment -> assignment.server().service().equals(service))
                .filter(assignment -> !assignment.draining())
                .anyMatch(assignment -> !isAlive(assignment.dispatcher()));
    }

    /** Chooses backend servers for a request. */
    public synchronized RoutingDecision choose(RouteQuery query) {
        return policy.choose(query);
    }

    /**
     * Recomputes reachability and weights from the time and the membership; to be called about ten
     * times a second.
     */
    public synchronized void refreshAll(long nowNanos) {
        assignments.keySet().forEach(name -> refresh(name, nowNanos));
    }

    /** Counts a request that is about to be sent to a backend server. */
    public synchronized void sent(String backendServer) {
        table.recordSent(backendServer);
    }

    /** Records a successful answer of a backend server. */
    public synchronized void succeeded(String backendServer) {
        ejection.recordSuccess(backendServer);
    }

    /** Records a failure of a backend server; returns whether the failure ejects it. */
    public synchronized boolean failed(String backendServer, long nowNanos) {
        final boolean ejected = ejection.recordFailure(backendServer, table.size(), nowNanos);
        refresh(backendServer, nowNanos);
        return ejected;
    }

    /** Counts a first attempt for the retry budget. */
    public synchronized void requested(String organisation, long nowNanos) {
        retries.recordRequest(organisation, nowNanos);
    }

    /**
     * Takes a retry from the budget of an organisation; returns false when the budget is used up.
     */
    public synchronized boolean tryRetry(String organisation, long nowNanos) {
        return retries.tryRetry(organisation, nowNanos);
    }

    private void assign(DispatchAssignment assignment, long nowNanos) {
        final String name = assignment.server().name();
        final DispatchAssignment previous = assignments.put(name, assignment);
        final boolean started =
                previous == null
                        || previous.server().incarnation() != assignment.server().incarnation();
        if (started) {
            drainingServers.remove(name);
            if (previous != null) {
                ejection.recordStart(name, nowNanos);
            }
        }
        table.setDispatcher(name, assignment.dispatcher());
        refresh(name, nowNanos);
    }

    private void forget(String name) {
        assignments.remove(name);
        drainingServers.remove(name);
        ejection.remove(name);
        table.remove(name);
    }

    private void refresh(String name, long nowNanos) {
        final DispatchAssignment assignment = assignments.get(name);
        final boolean reachable =
                assignment != null
                        && !assignment.draining()
                        && !drainingServers.contains(name)
                        && (isPlain(assignment) || isResponsive(assignment.dispatcher()));
        table.setReachable(name, reachable);
        table.setWeight(name, ejection.weight(name, nowNanos));
    }

    /**
     * Returns whether the service is plain. Requests to a plain service need no permit and so no
     * dispatcher.
     */
    private static boolean isPlain(DispatchAssignment assignment) {
        return assignment.server().adapterSlots() == 0;
    }

    private boolean isAlive(String instance) {
        return membership
                .find(instance)
                .filter(record -> record.state() == InstanceRecord.State.ALIVE)
                .isPresent();
    }

    private boolean isResponsive(String instance) {
        return membership
                .find(instance)
                .filter(record -> record.state() != InstanceRecord.State.SUSPECT)
                .filter(record -> record.state().isReachable())
                .isPresent();
    }
}
