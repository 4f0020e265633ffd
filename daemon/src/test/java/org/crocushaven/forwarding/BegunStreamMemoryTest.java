package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BegunStreams;
import org.crocushaven.fleet.StreamIdentifier;
import org.crocushaven.fleet.StreamOrigin;
import org.junit.jupiter.api.Test;

class BegunStreamMemoryTest {
    private static final StreamOrigin FIRST = new StreamOrigin("service", "v1");
    private static final StreamOrigin SECOND = new StreamOrigin("service", "v2");
    private static final long RETENTION_MILLIS = 20_000;

    private final BegunStreamMemory memory = new BegunStreamMemory();

    private static BegunStreams begun(StreamOrigin origin, String request) {
        return new BegunStreams(origin, List.of(StreamIdentifier.of(request)));
    }

    private void report(long epoch) {
        memory.unreported();
        memory.reportAnswered(epoch);
    }

    @Test
    void streamIsReportedUntilTheReportIsAnswered() {
        report(1);
        memory.recordBegun("one", FIRST, 0);
        memory.recordBegun("two", SECOND, 0);
        final List<BegunStreams> both = List.of(begun(FIRST, "one"), begun(SECOND, "two"));
        assertEquals(both, memory.unreported());
        assertEquals(both, memory.unreported());

        memory.reportAnswered(1);

        assertEquals(List.of(), memory.unreported());
        assertEquals(Optional.of(SECOND), memory.find("two"));
    }

    @Test
    void streamThatBeganAfterTheReportIsInTheNextOne() {
        report(1);
        memory.recordBegun("one", FIRST, 0);
        memory.unreported();
        memory.recordBegun("two", FIRST, 0);
        memory.reportAnswered(1);

        assertEquals(List.of(begun(FIRST, "two")), memory.unreported());
    }

    @Test
    void nextLeaderIsToldOfAllStreams() {
        report(1);
        memory.recordBegun("one", FIRST, 0);
        report(1);
        memory.recordBegun("two", FIRST, 0);

        report(2);

        assertEquals(
                List.of(
                        new BegunStreams(
                                FIRST,
                                List.of(StreamIdentifier.of("one"), StreamIdentifier.of("two")))),
                memory.unreported());
    }

    @Test
    void streamsThatCanHaveEndedAreNotReported() {
        memory.setRetentionMillis(RETENTION_MILLIS);
        memory.recordBegun("one", FIRST, 0);
        memory.recordBegun("two", FIRST, TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS) + 1);

        assertEquals(List.of(begun(FIRST, "two")), memory.unreported());
    }

    @Test
    void manyStreamsAreSplitOverReportsWithTheOldestFirst() {
        report(1);
        for (int number = 0; number < 10_000; number++) {
            memory.recordBegun("request-" + number, FIRST, 0);
        }

        final List<Long> first = memory.unreported().get(0).streams();
        memory.reportAnswered(1);
        final List<Long> second = memory.unreported().get(0).streams();

        assertEquals(8_192, first.size());
        assertEquals(10_000 - 8_192, second.size());
        assertEquals(StreamIdentifier.of("request-0"), first.get(0));
        assertEquals(StreamIdentifier.of("request-9999"), second.get(second.size() - 1));
    }
}
