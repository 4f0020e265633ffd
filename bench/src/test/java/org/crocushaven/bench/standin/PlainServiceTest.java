package org.crocushaven.bench.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlainServiceTest {
    private final PlainService service =
            PlainService.start(
                    new PlainServiceSettings("p1", "desk", "a", "127.0.0.1", 0, List.of(), 8));
    private final StandInClient client = new StandInClient(service.port());

    @AfterEach
    void stop() {
        service.close();
    }

    private int runCount(String key) throws Exception {
        return client.get("/standin/log").get("runs_by_key").path(key).asInt();
    }

    @Nested
    class Bookings {
        @Test
        void countsEveryRunOfOneKey() throws Exception {
            client.post("/bookings", "{}", "Idempotency-Key", "k1");
            client.post("/bookings", "{}", "Idempotency-Key", "k1");
            assertEquals(2, runCount("k1"));
        }

        @Test
        void refusesWithoutRunning() throws Exception {
            client.post("/standin/faults", "{\"refuse\":true}");
            assertEquals(
                    "not-run",
                    client.post("/bookings", "{}", "Idempotency-Key", "k2")
                            .headers()
                            .firstValue("Crocushaven-Execution")
                            .orElse(""));
            assertEquals(0, runCount("k2"));
        }

        @Test
        void closesConnectionWithoutAnswerAfterTheRun() throws Exception {
            client.post("/standin/faults", "{\"cut_after_run\":true}");
            assertThrows(
                    CompletionException.class,
                    () -> client.post("/bookings", "{}", "Idempotency-Key", "k3"));
            assertEquals(1, runCount("k3"));
        }
    }
}
