package org.crocushaven.bench.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the requests that a backend server ran, in order, and the rule violations it detected.
 *
 * <p>A run is recorded when it begins, so a request that is absent has not run. Not thread-safe.
 */
final class RunLog {
    private final String name;
    private final List<Run> runs = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> counters = new LinkedHashMap<>();

    RunLog(String name) {
        this.name = name;
    }

    /**
     * Records the beginning of a run and returns the index of the run. A request that carries a
     * credential is also recorded as a violation.
     */
    int beginRun(String requestId, String model, boolean credential) {
        if (credential) {
            violations.add("credential request=" + requestId);
        }
        runs.add(new Run(requestId, model, "running", credential));
        return runs.size() - 1;
    }

    /** Records the outcome of a run. */
    void endRun(int runIndex, String outcome) {
        final Run run = runs.get(runIndex);
        runs.set(runIndex, new Run(run.request(), run.model(), outcome, run.credential()));
    }

    /** Records a rule violation. */
    void recordViolation(String description) {
        violations.add(description);
    }

    /** Increments the counter of an event. */
    void count(String event) {
        counters.merge(event, 1, Integer::sum);
    }

    /** Returns the log as a document for the checks that compare it with callers' results. */
    Map<String, Object> document() {
        final Map<String, Object> document = new LinkedHashMap<>();
        document.put("name", name);
        document.put("counters", Map.copyOf(counters));
        document.put("violations", List.copyOf(violations));
        document.put("runs", List.copyOf(runs));
        return document;
    }

    /**
     * Describes one run of a request.
     *
     * @param request the request's identifier
     * @param model {@code adapter@version} or the base model; the route of a plain service
     * @param outcome {@code running} until the run ends
     * @param credential whether the request carried a caller's credential
     */
    public record Run(String request, String model, String outcome, boolean credential) {}
}
