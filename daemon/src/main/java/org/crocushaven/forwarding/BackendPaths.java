package org.crocushaven.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.crocushaven.fleet.BackendRecord;

/**
 * Knows which of this gateway's own paths to backend servers are open.
 *
 * <p>A path is not a backend server: the leader's records and other gateways may find the server
 * sound where this gateway's connections to it fail. A path whose last new connection failed is
 * closed until one is opened again; an older connection on it may live on. When several are closed
 * and nothing at all is heard, the gateway is cut off and all its paths are closed. Not
 * thread-safe.
 */
final class BackendPaths {
    /** Time without a byte from any backend server, beside several that answer streams. */
    static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Closed paths from which on a gateway that hears nothing counts as cut off. */
    private static final int CUT_PATHS = 3;

    /** Time within which a byte shows that an older connection on a closed path lives on. */
    private static final long LIVING_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long FIRST_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LONGEST_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final Predicate<InetSocketAddress> hasIdleConnection;
    private final Runnable onClosed;
    private final Map<String, Path> paths = new HashMap<>();
    private int knownBackends;
    private int closedPaths;
    private long heardNanos;

    /**
     * Creates paths that are all open.
     *
     * @param hasIdleConnection whether a connection to an address can be used again
     * @param onClosed is called when a path closes
     */
    BackendPaths(Predicate<InetSocketAddress> hasIdleConnection, Runnable onClosed, long nowNanos) {
        this.hasIdleConnection = hasIdleConnection;
        this.onClosed = onClosed;
        this.heardNanos = nowNanos;
    }

    /** Records that bytes came from a backend server. */
    void heard(BackendRecord backend, long nowNanos) {
        heardNanos = nowNanos;
        pathTo(backend).heardNanos = nowNanos;
    }

    /** Records that this gateway was not able to hear anything until now. */
    void restartQuiet(long nowNanos) {
        heardNanos = Math.max(heardNanos, nowNanos);
    }

    /** Records that a new connection was opened; returns whether its path had been closed. */
    boolean connected(BackendRecord backend, long nowNanos) {
        heard(backend, nowNanos);
        final Path path = pathTo(backend);
        final boolean wasClosed = path.closed;
        if (wasClosed) {
            path.closed = false;
            closedPaths--;
        }
        return wasClosed;
    }

    /** Records that a new connection was refused or not answered. */
    void connectionFailed(BackendRecord backend, long nowNanos) {
        final Path path = pathTo(backend);
        if (!path.closed) {
            path.closed = true;
            path.probeDelayNanos = FIRST_PROBE_NANOS;
            closedPaths++;
            onClosed.run();
        } else {
            path.probeDelayNanos = Math.min(LONGEST_PROBE_NANOS, 2 * path.probeDelayNanos);
        }
        path.probeNanos = nowNanos + path.probeDelayNanos;
    }

    /** Returns whether a request may go out on the path to a backend server. */
    boolean isOpen(BackendRecord backend, long nowNanos) {
        if (closedPaths == 0) {
            return true;
        }
        if (isCutOff(nowNanos)) {
            return false;
        }
        final Path path = pathTo(backend);
        return !path.closed
                || nowNanos - path.heardNanos < LIVING_NANOS
                        && hasIdleConnection.test(
                                new InetSocketAddress(backend.host(), backend.port()));
    }

    /** Returns whether no path to any of the backend servers is open, of which there are some. */
    boolean areAllClosed(Collection<BackendRecord> backends, long nowNanos) {
        return closedPaths > 0
                && !backends.isEmpty()
                && backends.stream().noneMatch(backend -> isOpen(backend, nowNanos));
    }

    /** Returns whether any path is closed. */
    boolean isAnyClosed() {
        return closedPaths > 0;
    }

    /** Returns whether nothing comes on any path. */
    boolean isCutOff(long nowNanos) {
        return closedPaths >= Math.min(CUT_PATHS, Math.max(1, knownBackends)) && isQuiet(nowNanos);
    }

    /** Returns whether nothing was heard for longer than several answers pause at once. */
    boolean isQuiet(long nowNanos) {
        return nowNanos - heardNanos >= QUIET_NANOS;
    }

    /** Returns the services of which no backend server can be reached. */
    List<String> unreachableServices(Collection<BackendRecord> records, long nowNanos) {
        if (closedPaths == 0) {
            return List.of();
        }
        final Set<String> reachable = new TreeSet<>();
        final Set<String> unreachable = new TreeSet<>();
        for (final BackendRecord record : records) {
            if (record.acceptsRequests()) {
                (isOpen(record, nowNanos) ? reachable : unreachable).add(record.service());
            }
        }
        unreachable.removeAll(reachable);
        return List.copyOf(unreachable);
    }

    /** Returns the backend servers whose closed paths should be tried now. */
    List<BackendRecord> dueProbes(Collection<BackendRecord> records, long nowNanos) {
        final List<BackendRecord> due = new ArrayList<>();
        if (closedPaths > 0) {
            for (final BackendRecord record : records) {
                final Path path = paths.get(record.backend());
                if (path != null && path.closed && nowNanos - path.probeNanos >= 0) {
                    due.add(record);
                }
            }
        }
        return due;
    }

    /** Makes all closed paths due for a probe, since one of them has opened. */
    void probeAll(long nowNanos) {
        for (final Path path : paths.values()) {
            path.probeNanos = nowNanos;
            path.probeDelayNanos = FIRST_PROBE_NANOS;
        }
    }

    /** Forgets the paths to all but the given backend servers. */
    void retain(Collection<BackendRecord> records) {
        final Map<String, Long> starts = new HashMap<>();
        records.forEach(record -> starts.put(record.backend(), record.startedMillis()));
        paths.entrySet()
                .removeIf(
                        known ->
                                !Long.valueOf(known.getValue().startedMillis)
                                        .equals(starts.get(known.getKey())));
        closedPaths = (int) paths.values().stream().filter(path -> path.closed).count();
        knownBackends = starts.size();
    }

    private Path pathTo(BackendRecord backend) {
        final Path known = paths.get(backend.backend());
        if (known != null && known.startedMillis == backend.startedMillis()) {
            return known;
        }
        if (known != null && known.closed) {
            closedPaths--;
        }
        final Path added = new Path(backend.startedMillis(), heardNanos);
        paths.put(backend.backend(), added);
        return added;
    }

    private static final class Path {
        private final long startedMillis;
        private long heardNanos;
        private boolean closed;
        private long probeNanos;
        private long probeDelayNanos;

        private Path(long startedMillis, long heardNanos) {
            this.startedMillis = startedMillis;
            this.heardNanos = heardNanos;
        }
    }
}
