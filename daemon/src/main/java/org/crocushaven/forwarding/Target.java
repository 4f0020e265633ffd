package org.crocushaven.forwarding;

import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.BackendRecord;

/**
 * Describes where a request is sent next.
 *
 * @param backend the backend server
 * @param key adapter or base model to use; null when the request names no model
 * @param delayMillis expected time until the adapter is available
 * @param adapterPending whether the adapter is still loading or was just requested, so that it may
 *     become available later than expected
 */
record Target(BackendRecord backend, AdapterKey key, long delayMillis, boolean adapterPending) {
    /** Returns the same target with a newer record of its backend server. */
    Target with(BackendRecord current) {
        return new Target(current, key, delayMillis, adapterPending);
    }

    /** Returns the same target with another expected time until the adapter is available. */
    Target withDelay(long newDelayMillis) {
        return new Target(backend, key, newDelayMillis, adapterPending);
    }
}
