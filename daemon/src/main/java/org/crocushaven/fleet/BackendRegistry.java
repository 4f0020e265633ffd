package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds the last announcement of each backend server; announcements may arrive in any order.
 *
 * <p>An announcement is accepted only if it is newer, by start time and sequence, than the last one
 * with the same identifier. A deregistration is kept for a while, so that a delayed heartbeat
 * cannot bring a backend server back. Not thread-safe.
 */
public final class BackendRegistry {
    /** Heartbeats that may be missed before a backend server counts as silent. */
    private static final int SILENT_HEARTBEATS = 3;

    /** Heartbeats that may be missed before a backend server is removed. */
    private static final int EXPIRED_HEARTBEATS = 12;

    private static final long GONE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final long silentNanos;
    private final long expiryNanos;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private BackendRegistry(long heartbeatMillis) {
        this.silentNanos = TimeUnit.MILLISECONDS.toNanos(heartbeatMillis * SILENT_HEARTBEATS);
        this.expiryNanos = TimeUnit.MILLISECONDS.toNanos(heartbeatMillis * EXPIRED_HEARTBEATS);
    }

    /**
     * Returns an empty registry.
     *
     * @param heartbeatMillis time between two heartbeats of a backend server
     */
    public static BackendRegistry of(long heartbeatMillis) {
        return new BackendRegistry(heartbeatMillis);
    }

    /** Applies an announcement; returns whether it was newer than what was known. */
    public boolean accept(BackendAnnouncement announcement, long nowNanos) {
        final Entry known = entries.get(announcement.backend());
        if (known == null) {
            markOlderAtAddressGone(announcement);
            entries.put(announcement.backend(), new Entry(announcement, nowNanos));
            return true;
        }
        final boolean accepted =
                announcement.isDeregistration()
                        ? known.announcement.state() != BackendState.GONE
                                || announcement.startedMillis() > known.announcement.startedMillis()
                        : announcement.isNewerThan(known.announcement);
        if (accepted) {
            known.announcement =
                    announcement.isDeregistration()
                            ? known.announcement.deregisteredBy(announcement)
                            : announcement;
            known.receivedNanos = nowNanos;
        }
        return accepted;
    }

    /**
     * Applies a departure that an earlier leader acknowledged, unless a later start of the backend
     * server is known.
     */
    public void restoreDeparture(BackendAnnouncement departure, long nowNanos) {
        final Entry known = entries.get(departure.backend());
        if (known == null || departure.isNewerThan(known.announcement)) {
            accept(departure, nowNanos);
        }
    }

    /** Removes backend servers that have long been silent or gone; returns their identifiers. */
    public List<String> expire(long nowNanos) {
        final List<String> expired = new ArrayList<>();
        entries.forEach(
                (backend, entry) -> {
                    final long bound =
                            entry.announcement.state() == BackendState.GONE
                                    ? GONE_EXPIRY_NANOS
                                    : expiryNanos;
                    if (nowNanos - entry.receivedNanos >= bound) {
                        expired.add(backend);
                    }
                });
        expired.forEach(entries::remove);
        return expired;
    }

    /** Returns the last announcement of a backend server. */
    public Optional<BackendAnnouncement> find(String backend) {
        return Optional.ofNullable(entries.get(backend)).map(entry -> entry.announcement);
    }

    /** Returns the time since the last announcement of a backend server; 0 if it is unknown. */
    long ageNanos(String backend, long nowNanos) {
        final Entry entry = entries.get(backend);
        return entry == null ? 0 : nowNanos - entry.receivedNanos;
    }

    /** Returns whether a backend server is unknown or has missed several heartbeats. */
    public boolean isSilent(String backend, long nowNanos) {
        final Entry entry = entries.get(backend);
        return entry == null || nowNanos - entry.receivedNanos >= silentNanos;
    }

    /** Returns the last announcements of all backend servers that are not gone. */
    public Collection<BackendAnnouncement> present() {
        return entries.values().stream()
                .map(entry -> entry.announcement)
                .filter(announcement -> announcement.state() != BackendState.GONE)
                .toList();
    }

    /** Returns the number of backend servers whose last announcement has a state. */
    public long count(BackendState state) {
        return entries.values().stream()
                .filter(entry -> entry.announcement.state() == state)
                .count();
    }

    /** Marks backend servers as gone whose address is now used by one that started later. */
    private void markOlderAtAddressGone(BackendAnnouncement announcement) {
        final Map<String, Entry> older = new HashMap<>();
        entries.forEach(
                (backend, entry) -> {
                    final BackendAnnouncement other = entry.announcement;
                    if (other.address().equals(announcement.address())
                            && other.startedMillis() < announcement.startedMillis()) {
                        older.put(backend, entry);
                    }
                });
        older.values()
                .forEach(
                        entry ->
                                entry.announcement =
                                        entry.announcement.withState(BackendState.GONE));
    }

    private static final class Entry {
        private BackendAnnouncement announcement;
        private long receivedNanos;

        private Entry(BackendAnnouncement announcement, long receivedNanos) {
            this.announcement = announcement;
            this.receivedNanos = receivedNanos;
        }
    }
}
