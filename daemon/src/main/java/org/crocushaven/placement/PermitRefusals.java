package org.crocushaven.placement;

import java.util.Optional;
import org.crocushaven.result.ResultCode;

/**
 * Decides which permit requests are refused on arrival because they could not be served in time.
 *
 * <p>Not thread-safe.
 */
final class PermitRefusals {
    private final AdapterSlots slots;
    private final LoadPlanner planner;
    private final PermitQueue queue;
    private final ServiceTimes times;

    PermitRefusals(AdapterSlots slots, LoadPlanner planner, PermitQueue queue, ServiceTimes times) {
        this.slots = slots;
        this.planner = planner;
        this.queue = queue;
        this.times = times;
    }

    /**
     * Returns the refusal of a request; empty if it may be queued.
     *
     * @param freeRequestSlots request slots of the backend server that are free now
     * @param concurrentRequests all request slots of the backend server
     */
    Optional<Refusal> find(
            PermitRequest request, int freeRequestSlots, int concurrentRequests, long nowNanos) {
        if (request.version().isPresent() && slots.capacity() == 0) {
            return Optional.of(Refusal.of(ResultCode.NO_BACKEND_SERVER));
        }
        if (nowNanos - request.deadlineNanos() >= 0) {
            return Optional.of(Refusal.of(ResultCode.DEADLINE_PASSED));
        }
        final long backoffNanos =
                request.version()
                        .filter(version -> !slots.isOccupied(version))
                        .map(version -> planner.backoffNanos(version, nowNanos))
                        .orElse(0L);
        if (backoffNanos > 0) {
            return Optional.of(new Refusal(ResultCode.ADAPTER_LOAD_FAILED, backoffNanos));
        }
        final long overdueNanos =
                nowNanos
                        + expectedWaitNanos(request, freeRequestSlots, concurrentRequests)
                        - request.deadlineNanos();
        return overdueNanos > 0
                ? Optional.of(
                        new Refusal(
                                ResultCode.DEADLINE_UNREACHABLE,
                                Math.max(Refusal.MINIMUM_RETRY_NANOS, overdueNanos)))
                : Optional.empty();
    }

    /**
     * Estimates the time until the request gets a permit: the load of its version or the requests
     * ahead of it in fair order, whichever takes longer.
     */
    private long expectedWaitNanos(
            PermitRequest request, int freeRequestSlots, int concurrentRequests) {
        final boolean loadNeeded =
                request.version().filter(version -> !slots.isServable(version)).isPresent();
        final long load = loadNeeded ? times.loadWaitNanos() : 0;
        if (freeRequestSlots > queue.size()) {
            return load;
        }
        final long perSlot = times.serviceNanos() / Math.max(1, concurrentRequests);
        return Math.max(load, (queue.countAhead(request.organisation()) + 1) * perSlot);
    }

    /**
     * The reason for a refusal and the time after which a retry can succeed.
     *
     * @param code the reason
     * @param retryAfterNanos time until the request should be retried
     */
    record Refusal(ResultCode code, long retryAfterNanos) {
        private static final long MINIMUM_RETRY_NANOS = 10_000_000;

        /** Returns a refusal after which the request may be retried almost at once. */
        static Refusal of(ResultCode code) {
            return new Refusal(code, MINIMUM_RETRY_NANOS);
        }
    }
}
