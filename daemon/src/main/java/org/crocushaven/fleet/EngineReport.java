package org.crocushaven.fleet;

import java.util.List;

/**
 * What an engine tells of itself when asked.
 *
 * @param busy whether an order is in progress
 * @param sequence orders accepted since its start
 * @param running requests that run
 * @param queued requests that wait
 * @param held base models and adapters that it holds
 * @param pending adapters that are on their way to it
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
