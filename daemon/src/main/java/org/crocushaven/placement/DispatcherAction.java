package org.crocushaven.placement;

import java.util.Optional;
import org.crocushaven.admission.LoadPriority;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;

/** An action that a dispatcher requires its caller to perform. */
public sealed interface DispatcherAction {
    /**
     * Grants a holder the permit to send its request.
     *
     * @param requestId identifier of the request
     * @param holder the instance that asked
     * @param version the adapter version that is pinned
     * @param incarnation incarnation of the backend server for which the permit is valid
     * @param queuedNanos time from the arrival of the request to the grant; 0 in a repeated grant
     * @param waitedForLoad whether the request waited for a load; false in a repeated grant
     */
    record GrantPermit(
            String requestId,
            String holder,
            Optional<AdapterVersion> version,
            long incarnation,
            long queuedNanos,
            boolean waitedForLoad)
            implements DispatcherAction {}

    /**
     * Refuses a holder the permit to send its request.
     *
     * @param requestId identifier of the request
     * @param holder the instance that asked
     * @param code the reason
     * @param retryAfterNanos time after which another attempt at this dispatcher may succeed
     */
    record RefusePermit(String requestId, String holder, ResultCode code, long retryAfterNanos)
            implements DispatcherAction {}

    /**
     * Requests a load from the leader's load budget.
     *
     * @param version the adapter version
     * @param organisation the organisation whose request has waited longest; empty for a prefetch
     * @param weight the organisation's weight, 1 or more
     * @param priority priority of the load
     * @param waiting how many requests wait for it
     */
    record RequestLoadGrant(
            AdapterVersion version,
            String organisation,
            int weight,
            LoadPriority priority,
            int waiting)
            implements DispatcherAction {}

    /**
     * Withdraws an unanswered {@link RequestLoadGrant}.
     *
     * @param version the adapter version
     */
    record WithdrawLoadRequest(AdapterVersion version) implements DispatcherAction {}

    /**
     * Tells the load budget that a granted load has ended or will not be started.
     *
     * @param version the adapter version
     */
    record ReleaseLoadGrant(AdapterVersion version) implements DispatcherAction {}

    /**
     * Orders the backend server to load an adapter version.
     *
     * @param version the adapter version
     * @param fencingNumber number of the dispatcher lease
     */
    record OrderLoad(AdapterVersion version, long fencingNumber) implements DispatcherAction {}

    /**
     * Orders the backend server to unload an adapter version.
     *
     * @param version the adapter version
     * @param fencingNumber number of the dispatcher lease
     */
    record OrderUnload(AdapterVersion version, long fencingNumber) implements DispatcherAction {}
}
