package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Test;

class StreamDirectoryTest {
    private static final String SERVICE = "service";
    private static final long LONGEST_MILLIS = 20_000;
    private static final long LATER_NANOS = TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
    private static final StreamOrigin FIRST = new StreamOrigin(SERVICE, "v1");

    private final FleetState state = FleetState.create();
    private long term;
    private final StreamDirectory directory = directoryOfNewLeader(0);

    private StreamDirectory directoryOfNewLeader(long nowNanos) {
        term++;
        state.termBegan(term);
        return StreamDirectory.of(
                SoftwareVersionLog.startingAt(state, term, this::commit, nowNanos));
    }

    private CompletableFuture<Void> commit(FleetCommand command) {
        state.apply(1, MessageCodec.encodeValue(command));
        return CompletableFuture.completedFuture(null);
    }

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
                softwareVersion,
                0);
    }

    private Optional<StreamOrigin> find(long stream) {
        return directory.find(new StreamOriginQuery(stream, SERVICE));
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
        directory.observe(announcement("two", "v2"), 0);
        directory.add(List.of(new BegunStreams(FIRST, List.of(7L))), 0);
        directory.restartHistory(LATER_NANOS);
        directory.observe(announcement("one", "v1"), LATER_NANOS);
        directory.tick(LATER_NANOS + 1);

        assertEquals(Optional.of(FIRST), find(7));
        assertEquals(Optional.empty(), find(8));
    }

    @Test
    void newLeaderCountsVersionThatOnlyItsPredecessorHeardOf() {
        directory.observe(announcement("one", "v1"), 0);
        directory.observe(announcement("two", "v2"), 0);
        final StreamDirectory next = directoryOfNewLeader(1);
        next.setLongestStreamMillis(LONGEST_MILLIS);
        next.observe(announcement("one", "v1"), 2 * LATER_NANOS);
        next.tick(2 * LATER_NANOS + 1);
        assertEquals(Optional.empty(), next.find(new StreamOriginQuery(8, SERVICE)));

        next.tick(2 * LATER_NANOS + 2);
        assertEquals(Optional.of(FIRST), next.find(new StreamOriginQuery(8, SERVICE)));
    }

    /** Guards against text of two versions: a client takes a stream up after its version left. */
    @Test
    void unknownStreamIsNotPlacedAtAnotherVersionOneTimeoutAfterItsOwnLeft() {
        final TakeUpTime takeUpTime = new TakeUpTime();
        directory.setLongestStreamMillis(takeUpTime.millisWith(LONGEST_MILLIS));
        directory.observe(announcement("one", "v1"), LATER_NANOS);

        final long takeUpNanos = 2 * LATER_NANOS + TimeUnit.SECONDS.toNanos(1);
        directory.observe(announcement("two", "v2"), takeUpNanos);
        directory.tick(takeUpNanos);

        assertEquals(Optional.empty(), find(8));
    }

    @Test
    void unknownStreamIsNotPlacedAtAnotherVersionAfterTheTimeoutWasShortened() {
        final TakeUpTime takeUpTime = new TakeUpTime();
        directory.setLongestStreamMillis(takeUpTime.millisWith(4 * LONGEST_MILLIS));
        directory.observe(announcement("one", "v1"), LATER_NANOS);
        directory.setLongestStreamMillis(takeUpTime.millisWith(LONGEST_MILLIS / 10));

        final long takeUpNanos = 4 * LATER_NANOS;
        directory.observe(announcement("two", "v2"), takeUpNanos);
        directory.tick(takeUpNanos);

        assertEquals(Optional.empty(), find(8));
    }

    @Test
    void servingVersionIsNotWithheldFromFleetWithoutRoutesForStreams() {
        directory.setLongestStreamMillis(0);
        directory.observe(announcement("one", "v1"), 0);
        directory.tick(TimeUnit.MILLISECONDS.toNanos(200));

        assertTrue(directory.mayServe(announcement("one", "v1")));
    }

    @Test
    void deregistrationSaysNothingOfVersions() {
        directory.setLongestStreamMillis(LONGEST_MILLIS);
        directory.observe(BackendAnnouncement.deregistration("one"), LATER_NANOS);

        assertEquals(Optional.empty(), find(8));
    }
}
