package org.crocushaven.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The last reports of all gateways. Not thread-safe. */
final class GatewayReports {
    /** Time after which a gateway that does not report is forgotten. */
    private static final long FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, Heard> reports = new HashMap<>();

    /** Takes in a report. */
    void put(GatewayReport report, long nowNanos) {
        reports.put(report.gateway(), new Heard(report, nowNanos));
        reports.values().removeIf(heard -> nowNanos - heard.atNanos >= FORGOTTEN_NANOS);
    }

    /** Returns the names of the gateways. */
    List<String> gateways() {
        return List.copyOf(reports.keySet());
    }

    /** Returns the requests under way by backend server, over all gateways. */
    Map<String, Integer> loads() {
        final Map<String, Integer> loads = new HashMap<>();
        for (final Heard heard : reports.values()) {
            heard.report
                    .loads()
                    .forEach(load -> loads.merge(load.backend(), load.requests(), Integer::sum));
        }
        return loads;
    }

    /** Returns the requests under way of all gateways but one, and what is left of prompts. */
    List<BackendLoad> otherLoads(String gateway, long nowNanos) {
        final Map<String, Integer> requests = new HashMap<>();
        final Map<String, PromptWork> prompts = new HashMap<>();
        for (final Heard heard : reports.values()) {
            if (heard.report.gateway().equals(gateway)) {
                continue;
            }
            for (final BackendLoad load : heard.report.loads()) {
                requests.merge(load.backend(), load.requests(), Integer::sum);
                prompts.computeIfAbsent(load.backend(), backend -> PromptWork.none())
                        .sent(load.promptTokens(), heard.atNanos);
            }
        }
        final List<BackendLoad> loads = new ArrayList<>(requests.size());
        requests.forEach(
                (backend, count) ->
                        loads.add(
                                new BackendLoad(
                                        backend,
                                        count,
                                        Math.round(prompts.get(backend).left(nowNanos)))));
        return loads;
    }

    /** Returns the use of adapters by all gateways. */
    List<AdapterUse> uses() {
        final List<AdapterUse> uses = new ArrayList<>();
        reports.values().forEach(heard -> uses.addAll(heard.report.uses()));
        return uses;
    }

    private record Heard(GatewayReport report, long atNanos) {}
}
