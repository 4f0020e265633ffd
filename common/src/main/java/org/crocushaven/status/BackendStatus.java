package org.crocushaven.status;

import java.util.List;
import java.util.Optional;

/**
 * The status of a backend server.
 *
 * @param name unique name
 * @param service the service to which it belongs
 * @param failureDomain the failure domain in which it runs
 * @param address IP address and port
 * @param state serving, draining, drained or silent
 * @param incarnation number that increases with each start
 * @param running requests being served
 * @param waiting requests queued inside the backend server
 * @param adapterSlots number of adapter versions that can be loaded at once
 * @param loaded adapter versions that are loaded, as {@code adapter@version}
 * @param dispatcher name of the instance that is its dispatcher, if known
 */
public record BackendStatus(
        String name,
        String service,
        String failureDomain,
        String address,
        String state,
        long incarnation,
        int running,
        int waiting,
        int adapterSlots,
        List<String> loaded,
        Optional<String> dispatcher) {
    public BackendStatus {
        loaded = List.copyOf(loaded);
    }
}
