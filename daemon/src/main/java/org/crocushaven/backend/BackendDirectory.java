package org.crocushaven.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * The backend servers that announce themselves to this instance.
 *
 * <p>There are two locks. {@code deliveryLock} (rank 1) is held while listeners are called, so that
 * they receive the changes in order. {@code stateLock} (rank 2) guards the entries and the queue of
 * changes; it is held for a few steps only and never while a listener runs. Listeners may call back
 * into the directory.
 */
public final class BackendDirectory implements AnnouncementHandler {
    /** A backend server without a heartbeat for longer than this gets no new work. */
    public static final long HEARTBEAT_TIMEOUT_MILLIS = 2_000;

    private final NanoClock clock;
    private final Predicate<String> isServicePublished;
    private final Map<String, Entry> entries = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final List<BackendDirectoryListener> listeners = new CopyOnWriteArrayList<>();
    private final ReentrantLock deliveryLock = new ReentrantLock();
    private final ReentrantLock stateLock = new ReentrantLock();

    private BackendDirectory(NanoClock clock, Predicate<String> isServicePublished) {
        this.clock = clock;
        this.isServicePublished = isServicePublished;
    }

    /**
     * Returns an empty directory.
     *
     * @param isServicePublished whether a service of the given name is published
     */
    public static BackendDirectory of(NanoClock clock, Predicate<String> isServicePublished) {
        return new BackendDirectory(clock, isServicePublished);
    }

    /** Adds a listener, which receives all later changes. */
    public void addListener(BackendDirectoryListener listener) {
        listeners.add(listener);
    }

    @Override
    public void register(BackendServer server) {
        if (!isServicePublished.test(server.service())) {
            throw ResultException.of(ResultCode.ANNOUNCEMENT_UNKNOWN_SERVICE, server.service());
        }
        applyAndDeliver(
                () -> {
                    final Entry old = entries.get(server.name());
                    if (old != null && old.server.incarnation() > server.incarnation()) {
                        throw staleAnnouncement(server.name());
                    }
                    if (old != null && old.server.equals(server)) {
                        old.lastSeenNanos = clock.nanoTime();
                        return;
                    }
                    if (old != null && old.server.incarnation() == server.incarnation()) {
                        throw ResultException.of(
                                ResultCode.ANNOUNCEMENT_INVALID,
                                "incarnation must increase when another field changes");
                    }
                    entries.put(server.name(), new Entry(server, clock.nanoTime()));
                    changes.add(listener -> listener.registered(server));
                });
    }

    @Override
    public void recordHeartbeat(String name, LoadReport report) {
        applyAndDeliver(
                () -> {
                    final Entry entry = requireEntry(name, report.incarnation());
                    if (entry.report != null && report.sequence() <= entry.report.sequence()) {
                        throw staleAnnouncement(name);
                    }
                    entry.lastSeenNanos = clock.nanoTime();
                    entry.report = report;
                    entry.lost = false;
                    final BackendServer server = entry.server;
                    changes.add(listener -> listener.reported(server, report));
                    if (report.draining()) {
                        markDraining(entry);
                    }
                });
    }

    @Override
    public void startDraining(String name, long incarnation) {
        applyAndDeliver(() -> markDraining(requireEntry(name, incarnation)));
    }

    @Override
    public void remove(String name, long incarnation) {
        applyAndDeliver(
                () -> {
                    final BackendServer server = requireEntry(name, incarnation).server;
                    entries.remove(name);
                    changes.add(listener -> listener.left(server));
                });
    }

    /**
     * Marks the backend servers without a heartbeat within {@link #HEARTBEAT_TIMEOUT_MILLIS} as
     * lost; must be called a few times per second.
     */
    public void markLostServers() {
        applyAndDeliver(
                () -> {
                    final long now = clock.nanoTime();
                    for (final Entry entry : entries.values()) {
                        if (!entry.lost && isOverdue(entry, now)) {
                            entry.lost = true;
                            final BackendServer server = entry.server;
                            changes.add(listener -> listener.lost(server));
                        }
                    }
                });
    }

    /** Returns the backend servers that may get new work. */
    public List<BackendServer> usable() {
        stateLock.lock();
        try {
            final long now = clock.nanoTime();
            final List<BackendServer> result = new ArrayList<>();
            for (final Entry entry : entries.values()) {
                if (!entry.draining && !entry.lost && !isOverdue(entry, now)) {
                    result.add(entry.server);
                }
            }
            return result;
        } finally {
            stateLock.unlock();
        }
    }

    /** Returns the backend server of the given name, usable or not. */
    public Optional<BackendServer> server(String name) {
        stateLock.lock();
        try {
            return Optional.ofNullable(entries.get(name)).map(entry -> entry.server);
        } finally {
            stateLock.unlock();
        }
    }

    /** Returns the last load report of a backend server's current incarnation. */
    public Optional<LoadReport> report(String name) {
        stateLock.lock();
        try {
            return Optional.ofNullable(entries.get(name)).map(entry -> entry.report);
        } finally {
            stateLock.unlock();
        }
    }

    /** Must be called with {@code stateLock} held. */
    private Entry requireEntry(String name, long incarnation) {
        final Entry entry = entries.get(name);
        if (entry == null || entry.server.incarnation() < incarnation) {
            throw ResultException.of(ResultCode.REGISTRATION_REQUIRED, name);
        }
        if (entry.server.incarnation() > incarnation) {
            throw staleAnnouncement(name);
        }
        return entry;
    }

    /** Must be called with {@code stateLock} held. */
    private void markDraining(Entry entry) {
        if (!entry.draining) {
            entry.draining = true;
            final BackendServer server = entry.server;
            changes.add(listener -> listener.draining(server));
        }
    }

    private void applyAndDeliver(Runnable step) {
        stateLock.lock();
        try {
            step.run();
        } finally {
            stateLock.unlock();
        }
        deliver();
    }

    /**
     * Calls the listeners for every queued change. A change that a listener makes is only queued;
     * the outer call delivers it.
     */
    private void deliver() {
        if (deliveryLock.isHeldByCurrentThread()) {
            return;
        }
        deliveryLock.lock();
        try {
            Change next = pollChange();
            while (next != null) {
                listeners.forEach(next::notifyListener);
                next = pollChange();
            }
        } finally {
            deliveryLock.unlock();
        }
    }

    private Change pollChange() {
        stateLock.lock();
        try {
            return changes.poll();
        } finally {
            stateLock.unlock();
        }
    }

    private static boolean isOverdue(Entry entry, long nowNanos) {
        return nowNanos - entry.lastSeenNanos
                > TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_TIMEOUT_MILLIS);
    }

    private static ResultException staleAnnouncement(String name) {
        return ResultException.of(ResultCode.ANNOUNCEMENT_STALE, name);
    }

    @FunctionalInterface
    private interface Change {
        void notifyListener(BackendDirectoryListener listener);
    }

    /** The state of one backend server; guarded by {@code stateLock}. */
    private static final class Entry {
        private final BackendServer server;
        private long lastSeenNanos;
        private LoadReport report;
        private boolean draining;
        private boolean lost;

        Entry(BackendServer server, long lastSeenNanos) {
            this.server = server;
            this.lastSeenNanos = lastSeenNanos;
        }
    }
}
