package org.crocushaven.fleet;

import java.util.List;

/**
 * The state that an engine reports on request.
 *
 * @param busy whether an order is in progress
 * @param sequence number of orders accepted since its start
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param held base models and adapters that it holds
 * @param pending adapters that are being loaded
 */
public record EngineReport(
        boolean busy,
        long sequence,
        int running,
        int queued,
        List<HeldAdapter> held,
        List<HeldAdapter> pending) {
    public EngineReport {
        held = List.copyOf(held);
        pending = List.copyOf(pending);
    }
}
