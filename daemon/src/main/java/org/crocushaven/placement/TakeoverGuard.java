package org.crocushaven.placement;

import org.crocushaven.backend.BackendServer;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;

/**
 * Decides what a dispatcher may do while orders and permits of an earlier dispatcher may still be
 * in use.
 *
 * <p>An order of an earlier dispatcher that is still in flight could unload a version. It is
 * excluded once the backend server has confirmed an order with the new fencing number or, if it
 * ignores fencing numbers, once the lifetime of an order has passed. Not thread-safe.
 */
final class TakeoverGuard {
    private final DispatcherSettings settings;
    private final long takeoverNanos;
    private boolean fencingNumberConfirmed;
    private AdapterVersion fencingOrderVersion;
    private boolean superseded;

    private TakeoverGuard(DispatcherSettings settings, long takeoverNanos) {
        this.settings = settings;
        this.takeoverNanos = takeoverNanos;
    }

    /** Returns the guard of a dispatcher whose takeover happens now. */
    static TakeoverGuard create(DispatcherSettings settings, long nowNanos) {
        return new TakeoverGuard(settings, nowNanos);
    }

    /** Records what the result of an order says about the fencing number. */
    void recordOrderResult(ResultCode code) {
        if (code == ResultCode.STALE_FENCING_NUMBER) {
            superseded = true;
        } else if (code == ResultCode.OK) {
            fencingNumberConfirmed = true;
        }
    }

    /** Returns whether the backend server has refused an order because of a later dispatcher. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Discards the confirmation of the fencing number, which the restarted server has lost. */
    void handleServerRestart() {
        fencingNumberConfirmed = false;
        fencingOrderVersion = null;
    }

    /** Returns whether the backend server should be made to confirm the fencing number now. */
    boolean needsConfirmation(BackendServer server, long nowNanos) {
        return server.checksFencing()
                && !fencingNumberConfirmed
                && fencingOrderVersion == null
                && !isOrderLifetimeOver(nowNanos);
    }

    /** Records that the load of a loaded version was ordered again for the confirmation. */
    void startConfirmation(AdapterVersion version) {
        fencingOrderVersion = version;
    }

    /** Ends the confirmation if it used the version; returns whether it did. */
    boolean endConfirmation(AdapterVersion version) {
        if (!version.equals(fencingOrderVersion)) {
            return false;
        }
        fencingOrderVersion = null;
        return true;
    }

    /** Returns whether loads and unloads may be ordered. */
    boolean allowsOrders(BackendServer server, long nowNanos) {
        return server.checksFencing() || isOrderLifetimeOver(nowNanos);
    }

    /** Returns whether no order of an earlier dispatcher can take effect any more. */
    boolean excludesEarlierOrders(BackendServer server, long nowNanos) {
        return (server.checksFencing() && fencingNumberConfirmed) || isOrderLifetimeOver(nowNanos);
    }

    /** Returns whether holders may still use permits of the earlier dispatcher. */
    boolean isRedeclareWindowOpen(long nowNanos) {
        return nowNanos - takeoverNanos < settings.redeclareWindowNanos();
    }

    private boolean isOrderLifetimeOver(long nowNanos) {
        return nowNanos - takeoverNanos >= settings.orderLifetimeNanos();
    }
}
