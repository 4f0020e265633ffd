package org.crocushaven.serving;

import java.util.Optional;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.Service;

/**
 * Target of a request as resolved from the current configuration.
 *
 * @param service the service
 * @param adapter the adapter; empty for the base model and for plain services
 * @param version the adapter version; empty for the base model and for plain services
 * @param open whether the target can be called without a key
 * @param idempotent whether the call may be retried after it may have run
 * @param resident whether the version is never evicted, so that a request may be sent without a
 *     permit when no dispatcher answers
 * @param tokens number of tokens to charge
 * @param timeoutMillis maximum duration of the call, in milliseconds; {@code Long.MAX_VALUE} for no
 *     bound
 */
record ResolvedTarget(
        Service service,
        Optional<Adapter> adapter,
        Optional<AdapterVersion> version,
        boolean open,
        boolean idempotent,
        boolean resident,
        long tokens,
        long timeoutMillis) {
    boolean isEngine() {
        return service.kind() == Service.Kind.ENGINE;
    }
}
