package org.crocushaven.forwarding;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.outbound.BackendPool;

/**
 * What all requests of a gateway share.
 *
 * @param loop the event loop on which all of it runs
 * @param clock monotonic clock
 * @param random decides weights
 * @param dialect reads and writes headers
 * @param configuration configuration in force here
 * @param pool connections to backend servers
 * @param view backend servers as known here
 * @param health recent failures of backend servers
 * @param choice chooses between backend servers
 * @param allowance bounds repeats
 * @param admission keys and rates
 * @param freshness age of the control state
 * @param prompts which backend server has read which prompt
 * @param leader asks the leader for places of adapters and for tokens
 * @param observer takes note of what becomes of requests
 */
record ForwardingEnvironment(
        EventLoop loop,
        NanoClock clock,
        RandomGenerator random,
        IngressDialect dialect,
        ConfigurationSource configuration,
        BackendPool pool,
        FleetView view,
        BackendHealth health,
        BackendChoice choice,
        RetryAllowance allowance,
        KeyedAdmission admission,
        ControlFreshness freshness,
        PromptMemory prompts,
        LeaderSource leader,
        ForwardingObserver observer) {
    long nowNanos() {
        return clock.nanoTime();
    }

    /** Gives the configuration in force. */
    interface ConfigurationSource {
        /** Returns the configuration; empty before the first one is known. */
        Optional<IngressConfiguration> current();
    }
}
