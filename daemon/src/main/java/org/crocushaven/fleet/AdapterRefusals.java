package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Refuses gateways' requests for adapters: tells them when to ask again, and remembers what was
 * refused. Used on one event loop only.
 */
final class AdapterRefusals {
    private final AdapterPlanner planner;
    private final AdapterWishes wishes;
    private final NanoClock clock;
    private final ReturnTimes returnTimes = new ReturnTimes();

    AdapterRefusals(AdapterPlanner planner, AdapterWishes wishes, NanoClock clock) {
        this.planner = planner;
        this.wishes = wishes;
        this.clock = clock;
    }

    /**
     * Returns the refusal of a request.
     *
     * @param waiting loads that requests wait for
     */
    AdapterGrant refuse(AdapterRequest request, String reason, int waiting) {
        final long nowNanos = clock.nanoTime();
        wishes.refused(request, nowNanos);
        planner.refused(request.key(), nowNanos);
        final AdapterRefusal refusal = planner.refusal(request, nowNanos);
        final long retryMillis =
                returnTimes.nextDelayMillis(
                        Math.max(refusal.retryMillis(), planner.storeMillisFor(waiting + 1)),
                        planner.storeMillisFor(1),
                        nowNanos);
        log(request, reason, waiting, refusal, retryMillis);
        return AdapterGrant.none(retryMillis);
    }

    private void log(
            AdapterRequest request,
            String reason,
            int waiting,
            AdapterRefusal refusal,
            long retryMillis) {
        final AdapterWishes.Wish wish = wishes.find(request.key()).orElseThrow();
        EventLine.of("adapter-refused")
                .with("service", request.service())
                .with("adapter", request.adapter())
                .with("reason", reason)
                .with("priority", request.priority())
                .with("patience_ms", request.patienceMillis())
                .with("avoided", request.excludedBackends().size())
                .with("candidates", refusal.candidates())
                .with("unverified", refusal.unverified())
                .with("crowded", refusal.crowded())
                .with("full", refusal.full())
                .with("has_place", refusal.hasPlace())
                .with("refusals", wish.refusals())
                .with(
                        "since_ms",
                        TimeUnit.NANOSECONDS.toMillis(wish.lastNanos() - wish.sinceNanos()))
                .with("waiting", waiting)
                .with("retry_ms", retryMillis)
                .info();
    }
}
