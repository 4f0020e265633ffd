package org.crocushaven.forwarding;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.ingress.IngressRequest;

/**
 * Looks for a backend server that can replace a silent one, and reports what is missing while there
 * is none.
 *
 * <p>The silent one's answer is awaited all the while. Used on the event loop only.
 */
final class ReplacementSearch {
    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final RequestForwarding forwarding;
    private boolean searching;

    /** What a replacement last lacked; empty while no backend server is silent. */
    private String lacked = "";

    /**
     * Creates the search of one request.
     *
     * @param forwarding is handed the replacement
     */
    ReplacementSearch(ForwardedRequest served, RequestForwarding forwarding) {
        this.served = served;
        this.environment = served.environment();
        this.request = served.request();
        this.forwarding = forwarding;
    }

    /** Returns whether anything was found missing since the backend server fell silent. */
    boolean lacksSomething() {
        return !lacked.isEmpty();
    }

    /** Records that the backend server is no longer silent. */
    void silenceEnded() {
        lacked = "";
    }

    /** Reports what a replacement lacks, once while that is the same. */
    void reportLack(String missing) {
        if (!lacked.equals(missing)) {
            lacked = missing;
            environment.observer().retryUnavailable(request, missing);
        }
    }

    /** Looks for a replacement, unless that is under way. */
    void start(BackendAttempt silent, Set<String> alreadyTried) {
        if (searching) {
            return;
        }
        searching = true;
        final Set<String> excluded = new HashSet<>(alreadyTried);
        excluded.add(silent.target().backend().backend());
        final long events = forwarding.eventCount();
        find(excluded)
                .whenComplete(
                        (target, failure) -> {
                            if (failure != null) {
                                searching = false;
                                reportLackOf(silent, "target");
                            } else if (target.delayMillis() > 0) {
                                forwarding.waitForAdapter(
                                        target,
                                        target.delayMillis(),
                                        () -> found(silent, events, target));
                            } else {
                                found(silent, events, target);
                            }
                        });
    }

    private CompletableFuture<Target> find(Set<String> excluded) {
        try {
            return new TargetFinder(environment)
                    .find(
                            served.admission(),
                            request,
                            served.urgency(),
                            excluded,
                            "",
                            served.continuation());
        } catch (RuntimeException fault) {
            environment.observer().faulted(fault, true);
            return CompletableFuture.failedFuture(fault);
        }
    }

    /** Hands over the replacement unless the silent backend server has gone on meanwhile. */
    private void found(BackendAttempt silent, long eventsBefore, Target target) {
        searching = false;
        if (forwarding.isStale(silent) || forwarding.eventCount() != eventsBefore) {
            return;
        }
        forwarding
                .stillUsable(target)
                .ifPresentOrElse(this::takeRetryAndSend, () -> reportLack("target"));
    }

    private void takeRetryAndSend(Target target) {
        if (environment.retryBudget().tryRetry(served.admission().service())) {
            forwarding.sendReplacement(target);
        } else {
            reportLack("budget");
        }
    }

    private void reportLackOf(BackendAttempt silent, String missing) {
        if (!forwarding.isStale(silent)) {
            reportLack(missing);
        }
    }
}
