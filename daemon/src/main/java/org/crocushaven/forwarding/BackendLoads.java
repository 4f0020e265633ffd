package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.fleet.BackendLoad;
import org.crocushaven.fleet.PromptBacklog;

/**
 * Estimates the requests in flight at backend servers and the prompts that they still have to read:
 * this gateway's own, and those of the others as the leader last told. Not thread-safe.
 */
final class BackendLoads {
    /**
     * Number of unread prompt tokens above which the next report is sent early. It is a tenth of a
     * usual prompt; fewer tokens are read almost at once.
     */
    private static final double REPORTABLE_PROMPT_TOKENS = 100;

    private final Map<String, Integer> ownRequests = new HashMap<>();
    private final Map<String, Integer> otherRequests = new HashMap<>();
    private final Map<String, PromptBacklog> ownPromptBacklogs = new HashMap<>();
    private final Map<String, PromptBacklog> otherPromptBacklogs = new HashMap<>();

    /** Replaces the loads of the other gateways. */
    void apply(Collection<BackendLoad> otherLoads, long nowNanos) {
        otherRequests.clear();
        otherPromptBacklogs.clear();
        for (final BackendLoad load : otherLoads) {
            otherRequests.put(load.backend(), load.requests());
            final PromptBacklog prompts = PromptBacklog.empty();
            prompts.addTokens(load.promptTokens(), nowNanos);
            otherPromptBacklogs.put(load.backend(), prompts);
        }
    }

    /** Returns the estimated number of requests in flight at a backend server. */
    int requestsAt(String backend) {
        return ownRequests.getOrDefault(backend, 0) + otherRequests.getOrDefault(backend, 0);
    }

    /** Returns the backend servers at which requests of this gateway are in flight. */
    List<String> awaited() {
        return ownRequests.entrySet().stream()
                .filter(own -> own.getValue() > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Counts a request that is assigned to a backend server. */
    void requestStarted(String backend) {
        ownRequests.merge(backend, 1, Integer::sum);
    }

    /** Counts the end of an assigned request. */
    void requestEnded(String backend) {
        ownRequests.merge(backend, -1, (left, right) -> left + right == 0 ? null : left + right);
    }

    /** Records the prompt of a request that is sent to a backend server now. */
    void recordPrompt(String backend, double tokens, long nowNanos) {
        ownPromptBacklogs
                .computeIfAbsent(backend, name -> PromptBacklog.empty())
                .addTokens(tokens, nowNanos);
    }

    /** Forgets the prompts of this gateway at a backend server that is gone. */
    void forgetPrompts(String backend) {
        ownPromptBacklogs.remove(backend);
    }

    /** Returns the estimated number of prompt tokens that a backend server still has to read. */
    double promptTokensAt(String backend, long nowNanos) {
        return remainingTokens(ownPromptBacklogs, backend, nowNanos)
                + remainingTokens(otherPromptBacklogs, backend, nowNanos);
    }

    /** Returns whether this gateway has sent prompts that other gateways should soon know of. */
    boolean hasReportablePrompts(long nowNanos) {
        return ownPromptBacklogs.values().stream()
                .anyMatch(prompts -> prompts.remainingTokens(nowNanos) > REPORTABLE_PROMPT_TOKENS);
    }

    /** Returns the requests of this gateway in flight, for a report to the leader. */
    List<BackendLoad> ownLoads(long nowNanos) {
        final List<BackendLoad> loads = new ArrayList<>(ownRequests.size());
        ownRequests.forEach(
                (backend, requests) ->
                        loads.add(
                                new BackendLoad(
                                        backend,
                                        requests,
                                        Math.round(
                                                remainingTokens(
                                                        ownPromptBacklogs, backend, nowNanos)))));
        return loads;
    }

    private static double remainingTokens(
            Map<String, PromptBacklog> prompts, String backend, long nowNanos) {
        final PromptBacklog known = prompts.get(backend);
        return known == null ? 0 : known.remainingTokens(nowNanos);
    }
}
