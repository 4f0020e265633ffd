package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Holds the last report of each gateway. Not thread-safe. */
final class GatewayReports {
    /** Time after which the report of a silent gateway is removed. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, ReceivedReport> reports = new HashMap<>();

    /** Stores a report and removes expired ones. */
    void put(GatewayReport report, long nowNanos) {
        reports.put(report.gateway(), new ReceivedReport(report, nowNanos));
        reports.values().removeIf(received -> nowNanos - received.receivedNanos >= EXPIRY_NANOS);
    }

    /** Returns the names of the gateways. */
    List<String> gateways() {
        return List.copyOf(reports.keySet());
    }

    /** Returns the requests in flight by backend server, over all gateways. */
    Map<String, Integer> loads() {
        final Map<String, Integer> loads = new HashMap<>();
        for (final ReceivedReport received : reports.values()) {
            received.report
                    .loads()
                    .forEach(load -> loads.merge(load.backend(), load.requests(), Integer::sum));
        }
        return loads;
    }

    /**
     * Returns the requests in flight of all gateways but one, and their prompt tokens that are not
     * processed yet.
     */
    List<BackendLoad> otherLoads(String gateway, long nowNanos) {
        final Map<String, Integer> requests = new HashMap<>();
        final Map<String, PromptBacklog> prompts = new HashMap<>();
        for (final ReceivedReport received : reports.values()) {
            if (received.report.gateway().equals(gateway)) {
                continue;
            }
            for (final BackendLoad load : received.report.loads()) {
                requests.merge(load.backend(), load.requests(), Integer::sum);
                prompts.computeIfAbsent(load.backend(), backend -> PromptBacklog.empty())
                        .addTokens(load.promptTokens(), received.receivedNanos);
            }
        }
        final List<BackendLoad> loads = new ArrayList<>(requests.size());
        requests.forEach(
                (backend, count) ->
                        loads.add(
                                new BackendLoad(
                                        backend,
                                        count,
                                        Math.round(
                                                prompts.get(backend).remainingTokens(nowNanos)))));
        return loads;
    }

    /** Returns the use of adapters by all gateways. */
    List<AdapterUse> uses() {
        final List<AdapterUse> uses = new ArrayList<>();
        reports.values().forEach(received -> uses.addAll(received.report.uses()));
        return uses;
    }

    private record ReceivedReport(GatewayReport report, long receivedNanos) {}
}
