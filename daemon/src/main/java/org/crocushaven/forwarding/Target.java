package org.crocushaven.forwarding;

import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.BackendRecord;

/**
 * Where a request is sent next.
 *
 * @param backend the backend server
 * @param key the adapter or base model that it is to use; null on plain services
 * @param delayMillis time until the adapter is expected to be there
 * @param fresh whether the adapter has just been ordered, so that it may come a little later
 */
record Target(BackendRecord backend, AdapterKey key, long delayMillis, boolean fresh) {}
