package org.crocushaven.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.placement.BackendSummary;

/**
 * Decides which summaries are due to be sent: changed ones, and unchanged ones from time to time.
 *
 * <p>Not thread-safe.
 */
final class SentSummaries {
    private static final long MAXIMUM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<String, SentSummary> sentByServer = new HashMap<>();

    /** Returns whether a summary is to be sent now, and records it as sent if it is. */
    boolean recordIfDue(BackendSummary summary, long nowNanos) {
        final SentSummary sent = sentByServer.get(summary.name());
        final boolean due =
                sent == null
                        || sent.summary.fencingNumber() != summary.fencingNumber()
                        || sent.summary.sequence() != summary.sequence()
                        || nowNanos - sent.sentNanos > MAXIMUM_INTERVAL_NANOS;
        if (due) {
            sentByServer.put(summary.name(), new SentSummary(summary, nowNanos));
        }
        return due;
    }

    private record SentSummary(BackendSummary summary, long sentNanos) {}
}
