package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private static final StreamOrigin FIRST = new StreamOrigin("service", "v1");
    private static final StreamOrigin SECOND = new StreamOrigin("service", "v2");
    private static final long RETENTION = 100;

    private final StreamOrigins origins = StreamOrigins.ofCapacity(4);

    @Test
    void streamsAreRememberedWithTheirOrigins() {
        origins.add(1, FIRST, 0, RETENTION);
        origins.add(2, SECOND, 0, RETENTION);

        assertEquals(Optional.of(FIRST), origins.find(1));
        assertEquals(Optional.of(SECOND), origins.find(2));
        assertEquals(Optional.empty(), origins.find(3));
    }

    @Test
    void streamIsRememberedForTheRetentionTimeAndDroppedLater() {
        origins.add(1, FIRST, 0, RETENTION);
        origins.add(2, FIRST, 2 * RETENTION - 1, RETENTION);
        assertEquals(Optional.of(FIRST), origins.find(1));

        origins.add(3, FIRST, 3 * RETENTION, RETENTION);

        assertEquals(Optional.empty(), origins.find(1));
        assertEquals(Optional.of(FIRST), origins.find(2));
    }

    @Test
    void memoryIsBounded() {
        for (int stream = 1; stream <= 100; stream++) {
            origins.add(stream, FIRST, 0, RETENTION);
        }

        assertEquals(8, origins.size());
        assertEquals(Optional.of(FIRST), origins.find(100));
    }

    @Test
    void identifiersDifferAndNeverMeanNone() {
        assertNotEquals(
                StreamIdentifier.of("354fdeb7e832308c"), StreamIdentifier.of("354fdeb7e832308d"));
        assertNotEquals(StreamIdentifier.NONE, StreamIdentifier.of(""));
    }
}
