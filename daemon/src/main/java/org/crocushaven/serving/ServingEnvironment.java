package org.crocushaven.serving;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.backend.BackendClient;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.security.ActiveRequests;
import org.crocushaven.security.KeyCheck;

/**
 * Components of the daemon that serve a request.
 *
 * @param instance name of this instance
 * @param failureDomain its failure domain
 * @param configuration supplies the current configuration of this instance
 * @param keys checks the keys of callers
 * @param activeRequests the requests to cancel when their key is withdrawn
 * @param shares charges tokens to organisations
 * @param once ensures that non-idempotent calls run at most once
 * @param fleet chooses backend servers
 * @param permits requests permits from dispatchers
 * @param backends sends requests to backend servers
 * @param sessionIsValid whether this instance's session with the leader is valid
 * @param listener receives routing decisions and outcomes of requests
 * @param scheduler runs the next attempt of requests that wait for a dispatcher
 * @param clock the daemon's monotonic clock
 */
public record ServingEnvironment(
        String instance,
        String failureDomain,
        Supplier<FleetConfiguration> configuration,
        KeyCheck keys,
        ActiveRequests activeRequests,
        ShareGate shares,
        AtMostOnceGate once,
        FleetView fleet,
        PermitClient permits,
        BackendClient backends,
        BooleanSupplier sessionIsValid,
        ServingListener listener,
        Scheduler scheduler,
        NanoClock clock) {}
