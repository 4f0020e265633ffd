package org.crocushaven.bench.standin;

import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * Describes the identity, capacity and speed of a stand-in engine.
 *
 * @param name unique name of the backend server
 * @param service the engine service that it announces
 * @param failureDomain its failure domain
 * @param host IP address on which it listens
 * @param port TCP port; 0 picks a free port
 * @param announcementAddresses {@code host:port} addresses that receive its announcements
 * @param adapterSlots adapter versions that it can hold
 * @param concurrentRequests maximum number of requests in a batch
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param weightStore address of the weight store; if empty, a load takes {@code loadDelayMillis}
 * @param loadDelayMillis duration of a load without a weight store, in milliseconds
 * @param speed duration of its batch steps
 */
public record EngineSettings(
        String name,
        String service,
        String failureDomain,
        String host,
        int port,
        List<String> announcementAddresses,
        int adapterSlots,
        int concurrentRequests,
        boolean checksFencing,
        Optional<URI> weightStore,
        long loadDelayMillis,
        StepSpeed speed) {
    public EngineSettings {
        announcementAddresses = List.copyOf(announcementAddresses);
    }

    /**
     * Sets how long a batch step takes.
     *
     * @param stepMicros fixed part of a step, in microseconds
     * @param sequenceMicros addition for each sequence in the batch, in microseconds
     * @param prefillTokenMicros addition for each prompt token read in the step, in microseconds
     */
    public record StepSpeed(long stepMicros, long sequenceMicros, long prefillTokenMicros) {
        /** Returns the default speed, that of a small engine. */
        public static StepSpeed standard() {
            return new StepSpeed(4_000, 150, 20);
        }
    }
}
