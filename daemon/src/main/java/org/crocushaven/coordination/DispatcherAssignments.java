package org.crocushaven.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.crocushaven.backend.BackendServer;

/**
 * Decides on the leader which instance dispatches for each backend server.
 *
 * <p>A backend server is reassigned only after the session of its dispatcher has expired, or after
 * the dispatcher has reported that it no longer holds the lease. A new leader assigns nothing for
 * one session lease and the drift, until every session that an earlier leader renewed has either
 * expired or redeclared its leases to the new leader. Opens no sockets and starts no threads; not
 * thread-safe.
 */
public final class DispatcherAssignments {
    private static final int TERM_SHIFT = 32;

    private final long term;
    private final SessionSettings settings;
    private final long gracePeriodEndNanos;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Backend> backends = new TreeMap<>();
    private long lastLeaseSequence;
    private long revision;
    private FleetTable table;

    private DispatcherAssignments(long term, SessionSettings settings, long nowNanos) {
        this.term = term;
        this.settings = settings;
        this.gracePeriodEndNanos =
                nowNanos
                        + TimeUnit.MILLISECONDS.toNanos(
                                settings.leaseMillis() + settings.driftMillis());
        this.revision = term << TERM_SHIFT;
        this.table = new FleetTable(revision, List.of());
    }

    /** Returns the assignments of a leader that has just been elected. */
    public static DispatcherAssignments create(long term, SessionSettings settings, long nowNanos) {
        return new DispatcherAssignments(term, settings, nowNanos);
    }

    /** Renews a session, and records the announcements and the leases that the instance reports. */
    public void heartbeat(SessionHeartbeat heartbeat, long nowNanos) {
        final Session known = sessions.get(heartbeat.instance());
        if (known != null && known.incarnation > heartbeat.incarnation()) {
            return;
        }
        if (known != null && known.incarnation < heartbeat.incarnation()) {
            releaseAll(heartbeat.instance());
        }
        sessions.put(
                heartbeat.instance(),
                new Session(
                        heartbeat.failureDomain(),
                        heartbeat.incarnation(),
                        heartbeat.leaving(),
                        expiry(nowNanos)));
        heartbeat
                .announcedServers()
                .forEach(
                        announced -> recordAnnouncement(heartbeat.instance(), announced, nowNanos));
        if (heartbeat.leaving()) {
            releaseAll(heartbeat.instance());
        } else if (isInGracePeriod(nowNanos)) {
            heartbeat
                    .heldLeases()
                    .forEach(held -> acceptRedeclaredLease(heartbeat.instance(), held, nowNanos));
        } else {
            releaseUnheld(heartbeat);
        }
    }

    /** Removes expired sessions and assigns backend servers that have no dispatcher. */
    public void tick(long nowNanos) {
        final List<String> expired =
                sessions.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().expiresNanos > 0)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(
                instance -> {
                    sessions.remove(instance);
                    releaseAll(instance);
                });
        backends.values().removeIf(backend -> isRemovable(backend, nowNanos));
        if (!isInGracePeriod(nowNanos)) {
            final Map<String, Integer> assigned = countAssigned();
            backends.values().stream()
                    .filter(backend -> backend.dispatcher == null)
                    .forEach(backend -> assign(backend, assigned, nowNanos));
        }
        refreshTable();
    }

    /** Returns whether leases granted by an earlier leader may still be valid. */
    public boolean isInGracePeriod(long nowNanos) {
        return nowNanos - gracePeriodEndNanos < 0;
    }

    /** Returns the current table. */
    public FleetTable table() {
        return table;
    }

    /** Returns the sorted names of the instances that have a session. */
    public List<String> sessions() {
        return sessions.keySet().stream().sorted().toList();
    }

    private long expiry(long nowNanos) {
        return nowNanos
                + TimeUnit.MILLISECONDS.toNanos(settings.leaseMillis() + settings.driftMillis());
    }

    private void recordAnnouncement(String instance, AnnouncedServer announced, long nowNanos) {
        final BackendServer server = announced.server();
        final Backend backend =
                backends.computeIfAbsent(server.name(), name -> new Backend(server));
        if (server.incarnation() < backend.server.incarnation()) {
            return;
        }
        if (server.incarnation() > backend.server.incarnation()) {
            backend.state = AnnouncedServer.State.SERVING;
        }
        backend.server = server;
        backend.announcementNanos.put(instance, nowNanos);
        if (announced.state().compareTo(backend.state) > 0) {
            backend.state = announced.state();
        }
    }

    private void acceptRedeclaredLease(String instance, HeldAssignment held, long nowNanos) {
        final Backend backend =
                backends.computeIfAbsent(held.server().name(), name -> new Backend(held.server()));
        if (backend.dispatcher == null || backend.fencingNumber < held.fencingNumber()) {
            backend.dispatcher = instance;
            backend.fencingNumber = held.fencingNumber();
            backend.announcementNanos.putIfAbsent(instance, nowNanos);
        }
    }

    private void assign(Backend backend, Map<String, Integer> assigned, long nowNanos) {
        if (backend.state == AnnouncedServer.State.LEFT) {
            return;
        }
        final Optional<String> chosen =
                sessions.keySet().stream()
                        .filter(name -> !sessions.get(name).leaving)
                        .min(
                                Comparator.comparing((String name) -> !isSameDomain(backend, name))
                                        .thenComparing(
                                                name ->
                                                        !hasRecentAnnouncement(
                                                                backend, name, nowNanos))
                                        .thenComparing(name -> assigned.getOrDefault(name, 0))
                                        .thenComparing(Comparator.naturalOrder()));
        chosen.ifPresent(
                instance -> {
                    backend.dispatcher = instance;
                    backend.fencingNumber = (term << TERM_SHIFT) + ++lastLeaseSequence;
                    backend.assignedRevision = revision + 1;
                    assigned.merge(instance, 1, Integer::sum);
                });
    }

    private boolean isSameDomain(Backend backend, String instance) {
        return sessions.get(instance).failureDomain.equals(backend.server.failureDomain());
    }

    private boolean hasRecentAnnouncement(Backend backend, String instance, long nowNanos) {
        final Long announcedNanos = backend.announcementNanos.get(instance);
        return announcedNanos != null
                && nowNanos - announcedNanos
                        < TimeUnit.MILLISECONDS.toNanos(settings.announcementValidityMillis());
    }

    private Map<String, Integer> countAssigned() {
        final Map<String, Integer> assigned = new HashMap<>();
        backends.values().stream()
                .filter(backend -> backend.dispatcher != null)
                .forEach(backend -> assigned.merge(backend.dispatcher, 1, Integer::sum));
        return assigned;
    }

    private boolean isRemovable(Backend backend, long nowNanos) {
        final long lastAnnouncementNanos =
                backend.announcementNanos.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(nowNanos);
        return nowNanos - lastAnnouncementNanos
                > TimeUnit.MILLISECONDS.toNanos(settings.backendRemovalMillis());
    }

    /**
     * Releases the leases that were in the table the instance has applied, but that it does not
     * hold.
     */
    private void releaseUnheld(SessionHeartbeat heartbeat) {
        final Map<String, Long> held = new HashMap<>();
        heartbeat
                .heldLeases()
                .forEach(lease -> held.put(lease.server().name(), lease.fencingNumber()));
        backends.values().stream()
                .filter(backend -> heartbeat.instance().equals(backend.dispatcher))
                .filter(backend -> backend.assignedRevision <= heartbeat.fleetRevision())
                .filter(
                        backend ->
                                held.getOrDefault(backend.server.name(), 0L)
                                        != backend.fencingNumber)
                .forEach(backend -> backend.dispatcher = null);
    }

    private void releaseAll(String instance) {
        backends.values().stream()
                .filter(backend -> instance.equals(backend.dispatcher))
                .forEach(backend -> backend.dispatcher = null);
    }

    private void refreshTable() {
        final List<DispatchAssignment> assignments = new ArrayList<>();
        for (final Backend backend : backends.values()) {
            if (backend.dispatcher != null && backend.state != AnnouncedServer.State.LEFT) {
                assignments.add(
                        new DispatchAssignment(
                                backend.server,
                                backend.dispatcher,
                                backend.fencingNumber,
                                backend.state == AnnouncedServer.State.DRAINING));
            }
        }
        if (!assignments.equals(table.assignments())) {
            table = new FleetTable(++revision, assignments);
        }
    }

    private static final class Session {
        private final String failureDomain;
        private final long incarnation;
        private final boolean leaving;
        private final long expiresNanos;

        private Session(
                String failureDomain, long incarnation, boolean leaving, long expiresNanos) {
            this.failureDomain = failureDomain;
            this.incarnation = incarnation;
            this.leaving = leaving;
            this.expiresNanos = expiresNanos;
        }
    }

    private static final class Backend {
        private final Map<String, Long> announcementNanos = new HashMap<>();
        private BackendServer server;
        private AnnouncedServer.State state = AnnouncedServer.State.SERVING;
        private String dispatcher;
        private long fencingNumber;
        private long assignedRevision;

        private Backend(BackendServer server) {
            this.server = server;
        }
    }
}
