package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds the last report of each gateway, and the sums over all of them.
 *
 * <p>The sums change by the difference between the last two reports of a gateway, so that the cost
 * of a report does not grow with the number of gateways. Not thread-safe.
 */
final class GatewayReports {
    /** Time after which the report of a silent gateway is removed. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, ReceivedReport> reports = new HashMap<>();
    private final Map<String, LoadSum> sums = new HashMap<>();

    /** Replaces the last report of a gateway. */
    void put(GatewayReport report, long nowNanos) {
        final ReceivedReport previous =
                reports.put(report.gateway(), new ReceivedReport(report, nowNanos));
        if (previous != null) {
            subtract(previous, nowNanos);
        }
        for (final BackendLoad load : report.loads()) {
            sums.computeIfAbsent(load.backend(), backend -> new LoadSum())
                    .add(1, load.requests(), load.promptTokens(), nowNanos);
        }
    }

    /** Removes the reports of silent gateways. */
    void removeExpired(long nowNanos) {
        final Iterator<ReceivedReport> remaining = reports.values().iterator();
        while (remaining.hasNext()) {
            final ReceivedReport received = remaining.next();
            if (nowNanos - received.receivedNanos >= EXPIRY_NANOS) {
                remaining.remove();
                subtract(received, nowNanos);
            }
        }
    }

    /** Returns the names of the gateways. */
    List<String> gateways() {
        return List.copyOf(reports.keySet());
    }

    /** Returns the last report of each gateway. */
    List<GatewayReport> latest() {
        return reports.values().stream().map(ReceivedReport::report).toList();
    }

    /** Returns the number of gateways. */
    int gatewayCount() {
        return reports.size();
    }

    /** Returns the requests in flight by backend server, over all gateways. */
    Map<String, Integer> loads() {
        final Map<String, Integer> loads = new HashMap<>();
        sums.forEach((backend, sum) -> loads.put(backend, sum.requests));
        return loads;
    }

    /**
     * Returns the requests in flight of all gateways but one, and their prompt tokens that are not
     * processed yet.
     */
    List<BackendLoad> otherLoads(String gateway, long nowNanos) {
        final Map<String, BackendLoad> own = currentLoads(gateway, nowNanos);
        final List<BackendLoad> others = new ArrayList<>(sums.size());
        sums.forEach(
                (backend, sum) -> {
                    final BackendLoad excluded =
                            own.getOrDefault(backend, new BackendLoad(backend, 0, 0));
                    if (sum.requests > excluded.requests()) {
                        others.add(
                                new BackendLoad(
                                        backend,
                                        sum.requests - excluded.requests(),
                                        Math.max(
                                                0,
                                                Math.round(sum.prompts.remainingTokens(nowNanos))
                                                        - excluded.promptTokens())));
                    }
                });
        return others;
    }

    /** Returns the use of adapters by all gateways. */
    List<AdapterUse> uses() {
        final List<AdapterUse> uses = new ArrayList<>();
        reports.values().forEach(received -> uses.addAll(received.report.uses()));
        return uses;
    }

    /** Returns a gateway's last reported loads with the prompt tokens that are left of them. */
    private Map<String, BackendLoad> currentLoads(String gateway, long nowNanos) {
        final Map<String, BackendLoad> current = new HashMap<>();
        final ReceivedReport received = reports.get(gateway);
        if (received != null) {
            for (final BackendLoad load : received.report.loads()) {
                current.put(
                        load.backend(),
                        new BackendLoad(
                                load.backend(),
                                load.requests(),
                                Math.round(received.remainingTokens(load, nowNanos))));
            }
        }
        return current;
    }

    private void subtract(ReceivedReport received, long nowNanos) {
        for (final BackendLoad load : received.report.loads()) {
            final LoadSum sum = sums.get(load.backend());
            sum.add(-1, -load.requests(), -received.remainingTokens(load, nowNanos), nowNanos);
            if (sum.reports == 0) {
                sums.remove(load.backend());
            }
        }
    }

    private record ReceivedReport(GatewayReport report, long receivedNanos) {
        private double remainingTokens(BackendLoad load, long nowNanos) {
            return PromptBacklog.remainingOf(load.promptTokens(), receivedNanos, nowNanos);
        }
    }

    /** The sum of all gateways' loads of one backend server. */
    private static final class LoadSum {
        private final PromptBacklog prompts = PromptBacklog.empty();
        private int requests;

        /** Number of reports that list the backend server. */
        private int reports;

        private void add(int addedReports, int addedRequests, double addedTokens, long nowNanos) {
            reports += addedReports;
            requests += addedRequests;
            prompts.addTokens(addedTokens, nowNanos);
        }
    }
}
