package org.crocushaven.fleet;

import java.util.concurrent.TimeUnit;
import org.crocushaven.observability.EventLine;

/** Logs how many reports a leader answered and how long that took. Not thread-safe. */
final class LeaderLoad {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private long sinceNanos;
    private long reports;
    private long busyNanos;
    private long longestNanos;
    private long changedRecords;

    LeaderLoad(long nowNanos) {
        this.sinceNanos = nowNanos;
    }

    /** Records a report that was answered, and the number of records of backend servers sent. */
    void recordReport(long startNanos, long endNanos, int records) {
        reports++;
        busyNanos += endNanos - startNanos;
        longestNanos = Math.max(longestNanos, endNanos - startNanos);
        changedRecords += records;
    }

    /** Logs the load since the last line, once per interval. */
    void tick(int gateways, int backends, long nowNanos) {
        if (nowNanos - sinceNanos < INTERVAL_NANOS) {
            return;
        }
        EventLine.of("leader-load")
                .with("gateways", gateways)
                .with("backends", backends)
                .with("seconds", TimeUnit.NANOSECONDS.toSeconds(nowNanos - sinceNanos))
                .with("reports", reports)
                .with("records", changedRecords)
                .with("busy_ms", TimeUnit.NANOSECONDS.toMillis(busyNanos))
                .with("longest_us", TimeUnit.NANOSECONDS.toMicros(longestNanos))
                .info();
        sinceNanos = nowNanos;
        reports = 0;
        busyNanos = 0;
        longestNanos = 0;
        changedRecords = 0;
    }
}
