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
        return loadsExcept("");
    }

    /** Returns the requests under way of all gateways but one. */
    List<BackendLoad> otherLoads(String gateway) {
        final List<BackendLoad> loads = new ArrayList<>();
        loadsExcept(gateway)
                .forEach((backend, requests) -> loads.add(new BackendLoad(backend, requests)));
        return loads;
    }

    /** Returns the use of adapters by all gateways. */
    List<AdapterUse> uses() {
        final List<AdapterUse> uses = new ArrayList<>();
        reports.values().forEach(heard -> uses.addAll(heard.report.uses()));
        return uses;
    }

    private Map<String, Integer> loadsExcept(String gateway) {
        final Map<String, Integer> loads = new HashMap<>();
        for (final Heard heard : reports.values()) {
            if (!heard.report.gateway().equals(gateway)) {
                heard.report
                        .loads()
                        .forEach(
                                load -> loads.merge(load.backend(), load.requests(), Integer::sum));
            }
        }
        return loads;
    }

    private record Heard(GatewayReport report, long atNanos) {}
}
