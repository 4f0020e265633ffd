package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.observability.EventLine;

/**
 * Finds out which paths to backend servers are open, by opening connections that carry no request:
 * when nothing at all is heard though requests wait, when one backend server is silent, and from
 * time to time while a path is closed.
 *
 * <p>Used on the event loop only.
 */
final class PathProbes {
    /** Time between two looks at the paths. */
    static final long INTERVAL_MILLIS = 50;

    /** Longer between two looks, and the gateway itself did not run. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Backend servers that are tried when nothing is heard. */
    private static final int SUSPICION_PROBES = 3;

    /** Time after which nothing heard is looked into again. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAXIMUM_UNDER_WAY = 8;

    private final NanoClock clock;
    private final BackendPaths paths;
    private final Prober prober;
    private final Set<String> underWay = new HashSet<>();
    private long lookedNanos;
    private long awaitingNanos;
    private long suspectedNanos;
    private boolean cutOff;

    /**
     * Creates the probes of a gateway.
     *
     * @param prober opens connections
     */
    PathProbes(NanoClock clock, BackendPaths paths, Prober prober) {
        this.clock = clock;
        this.paths = paths;
        this.prober = prober;
        this.lookedNanos = clock.nanoTime();
        this.awaitingNanos = lookedNanos;
        this.suspectedNanos = lookedNanos - SUSPICION_NANOS;
    }

    /**
     * Looks at the paths.
     *
     * @param records all backend servers
     * @param awaited those at which requests of this gateway are in flight
     */
    void look(Collection<BackendRecord> records, Collection<BackendRecord> awaited) {
        final long nowNanos = clock.nanoTime();
        if (nowNanos - lookedNanos > LATE_NANOS) {
            paths.restartQuiet(nowNanos);
        }
        lookedNanos = nowNanos;
        if (awaited.isEmpty()) {
            awaitingNanos = nowNanos;
        }
        if (isSuspicious(nowNanos)) {
            suspectedNanos = nowNanos;
            final List<BackendRecord> tried = new ArrayList<>(awaited);
            records.stream().filter(record -> !tried.contains(record)).forEach(tried::add);
            tried.stream().limit(SUSPICION_PROBES).forEach(this::probe);
        }
        paths.dueProbes(records, nowNanos).forEach(this::probe);
        reportCut(nowNanos);
    }

    private boolean isSuspicious(long nowNanos) {
        return nowNanos - awaitingNanos >= BackendPaths.QUIET_NANOS
                && paths.isQuiet(nowNanos)
                && nowNanos - suspectedNanos >= SUSPICION_NANOS;
    }

    private void reportCut(long nowNanos) {
        if (cutOff != paths.isCutOff(nowNanos)) {
            cutOff = !cutOff;
            EventLine.of(cutOff ? "paths-lost" : "paths-found").warn();
        }
    }

    /** Tries the path to a backend server, unless that is under way. */
    void probe(BackendRecord backend) {
        if (underWay.size() >= MAXIMUM_UNDER_WAY || !underWay.add(backend.backend())) {
            return;
        }
        prober.open(
                backend,
                opened -> {
                    underWay.remove(backend.backend());
                    final long nowNanos = clock.nanoTime();
                    if (!opened) {
                        paths.connectionFailed(backend, nowNanos);
                    } else if (paths.connected(backend, nowNanos)) {
                        paths.probeAll(nowNanos);
                    }
                });
    }

    /** Opens connections. */
    interface Prober {
        /** Opens a connection and closes it; passes on, on the event loop, whether it opened. */
        void open(BackendRecord backend, Consumer<Boolean> then);
    }
}
