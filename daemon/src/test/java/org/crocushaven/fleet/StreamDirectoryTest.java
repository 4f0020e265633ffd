package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StreamDirectoryTest {
    private static final String SERVICE = "service";
    private static final long LONGEST_MILLIS = 20_000;
    private static final long LATER_NANOS = TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
    private static final StreamOrigin FIRST = new StreamOrigin(SERVICE, "v1");

    private final StreamDirectory directory = StreamDirectory.startingAt(0);

    private static BackendAnnouncement announcement(String backend, String softwareVersion) {
        return new BackendAnnouncement(
                backend,
                SERVICE,
                "10.0.0.1",
                80,
                "a",
                BackendState.READY,
                16,
                1,
                1,
                false,
                List.of(),
                softwareVersion);
    }

    private Optional<StreamOrigin> find(long stream) {
        return directory.find(new StreamOriginQuery(stream, SERVICE), LATER_NANOS);
    }

    @Test
    void reportedStreamIsFoundWhileTwoVersionsServe() {
        directory.setLongestStreamMillis(LONGEST_MILLIS);
        directory.observe(announcement("one", "v1"), LATER_NANOS);
        directory.observe(announcement("two", "v2"), LATER_NANOS);
        directory.add(List.of(new BegunStreams(FIRST, List.of(7L))), LATER_NANOS);

        assertEquals(Optional.of(FIRST), find(7));
        assertEquals(Optional.empty(), find(8));
        assertEquals(Optional.empty(), find(StreamIdentifier.NONE));
    }

    @Test
    void unknownStreamBeganAtTheOnlyVersion() {
        directory.setLongestStreamMillis(LONGEST_MILLIS);
        directory.observe(announcement("one", "v1"), LATER_NANOS);

        assertEquals(Optional.of(FIRST), find(8));
        assertEquals(Optional.of(FIRST), find(StreamIdentifier.NONE));
    }

    @Test
    void reportedStreamStaysKnownWhenTheHistoryOfVersionsIsRestarted() {
        directory.setLongestStreamMillis(LONGEST_MILLIS);
        directory.add(List.of(new BegunStreams(FIRST, List.of(7L))), 0);
        directory.restartHistory(LATER_NANOS);
        directory.observe(announcement("one", "v1"), LATER_NANOS);

        assertEquals(Optional.of(FIRST), find(7));
        assertEquals(Optional.empty(), find(8));
    }

    @Test
    void deregistrationSaysNothingOfVersions() {
        directory.setLongestStreamMillis(LONGEST_MILLIS);
        directory.observe(BackendAnnouncement.deregistration("one"), LATER_NANOS);

        assertEquals(Optional.empty(), find(8));
    }
}
