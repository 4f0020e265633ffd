package org.crocushaven.observability;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.crocushaven.result.ResultCode;
import org.junit.jupiter.api.Test;

class MetricsTest {
    @Test
    void scrapeContainsRecordedMetrics() {
        final Metrics metrics = Metrics.create();
        metrics.recordRequest(ResultCode.RATE_EXCEEDED);
        metrics.recordServedTokens("las", 40);
        metrics.recordRefusedTokens("las", 2);
        metrics.recordWrongfulRefusal("las");
        metrics.recordLoadStall("model", 250_000_000);
        metrics.recordEngineRequest("model", true);
        metrics.recordEngineRequest("model", false);
        metrics.recordAddedLatency(400_000);
        metrics.recordTimeToFirstToken(30_000_000);
        metrics.recordControlBytesSent(7);
        metrics.recordControlBytesReceived(8);
        metrics.setSessions(6);
        metrics.setRevision(99);
        metrics.setLeader(true);
        final String text = metrics.scrape();
        final List<String> expected =
                List.of(
                        "crocushaven_requests_total{code=\"1301\"} 1.0",
                        "crocushaven_served_tokens_total{organisation=\"las\"} 40.0",
                        "crocushaven_refused_tokens_total{organisation=\"las\"} 2.0",
                        "crocushaven_wrongful_refusals_total{organisation=\"las\"} 1.0",
                        "crocushaven_load_stalls_total{service=\"model\"} 1.0",
                        "crocushaven_load_stall_seconds_total{service=\"model\"} 0.25",
                        "crocushaven_engine_requests_total{service=\"model\"} 2.0",
                        "crocushaven_batched_requests_total{service=\"model\"} 1.0",
                        "crocushaven_added_latency_seconds_bucket{le=\"5.0E-4\"} 1",
                        "crocushaven_first_token_seconds_count 1",
                        "crocushaven_control_bytes_total{direction=\"sent\"} 7.0",
                        "crocushaven_control_bytes_total{direction=\"received\"} 8.0",
                        "crocushaven_sessions 6.0",
                        "crocushaven_revision 99.0",
                        "crocushaven_leader 1.0",
                        "jvm_heap_used_bytes ",
                        "process_cpu_seconds_total ");
        for (final String line : expected) {
            assertTrue(text.contains("\n" + line), line + " is missing from\n" + text);
        }
    }
}
