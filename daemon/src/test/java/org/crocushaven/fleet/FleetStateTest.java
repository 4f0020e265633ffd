package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.crocushaven.protocol.MessageCodec;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private static final String MODEL = "base";

    private static byte[] configuration(long version, int content) {
        return MessageCodec.encodeValue(
                FleetCommand.configuration(version, new byte[] {(byte) content}));
    }

    private static byte[] version(String adapter, long version) {
        return MessageCodec.encodeValue(
                FleetCommand.adapterVersion(new AdapterVersion(MODEL, adapter, version)));
    }

    @Test
    void anEqualVersionWithOtherContentIsIgnored() {
        final FleetState state = FleetState.create();
        state.apply(1, configuration(7, 1));
        state.apply(2, configuration(7, 2));

        assertArrayEquals(new byte[] {1}, state.view().document());
        assertEquals(1, state.view().revision());
    }

    @Test
    void replicaThatRestoredLaterNamesTheSameRevision() {
        final FleetState state = FleetState.create();
        state.apply(1, configuration(7, 1));
        state.apply(2, MessageCodec.encodeValue(FleetCommand.gateways(List.of("one"), List.of())));
        final FleetState restored = FleetState.create();

        restored.restore(2, state.snapshot());

        assertEquals(state.view().revision(), restored.view().revision());
    }

    @Test
    void snapshotOfSoftwareThatKeptNoRevisionHasItsIndex() {
        final FleetState restored = FleetState.create();

        restored.restore(9, configuration(7, 1));

        assertEquals(9, restored.view().revision());
    }

    private static BackendAnnouncement departure(
            BackendState state, long startedMillis, long sequence) {
        return new BackendAnnouncement(
                "worker",
                "service",
                "10.0.0.1",
                80,
                "a",
                state,
                4,
                startedMillis,
                sequence,
                false,
                List.of(),
                "",
                0);
    }

    private static byte[] added(BackendAnnouncement departure) {
        return MessageCodec.encodeValue(FleetCommand.departures(List.of(departure), List.of()));
    }

    @Test
    void departuresOfLaterStartsAndTheEndReplaceOthers() {
        final FleetState state = FleetState.create();
        state.apply(1, added(departure(BackendState.DRAINING, 20, 5)));
        state.apply(2, added(departure(BackendState.GONE, 10, 9)));
        assertEquals(List.of(departure(BackendState.DRAINING, 20, 5)), state.departures());

        state.apply(3, added(departure(BackendState.GONE, 20, 5)));
        state.apply(4, added(departure(BackendState.DRAINING, 20, 6)));

        assertEquals(List.of(departure(BackendState.GONE, 20, 5)), state.departures());
        assertTrue(state.knowsDeparture(departure(BackendState.DRAINING, 20, 7)));
        assertFalse(state.knowsDeparture(departure(BackendState.DRAINING, 30, 1)));
    }

    @Test
    void departuresSurviveSnapshotAndDoNotChangeTheRevision() {
        final FleetState state = FleetState.create();
        state.apply(1, configuration(7, 1));
        state.apply(2, added(departure(BackendState.DRAINING, 20, 5)));
        final FleetState restored = FleetState.create();
        restored.restore(2, state.snapshot());

        assertEquals(1, state.view().revision());
        assertEquals(state.departures(), restored.departures());
    }

    @Test
    void departureStoredWithoutSoftwareVersionIsStillRead() {
        final List<Object> stored =
                List.of(
                        "worker",
                        "service",
                        "10.0.0.1",
                        80,
                        "a",
                        "DRAINING",
                        4,
                        20,
                        5,
                        false,
                        List.of());

        assertEquals(
                List.of(departure(BackendState.DRAINING, 20, 5)),
                stateWithStored(stored).departures());
    }

    @Test
    void departureStoredWithComponentOfLaterSoftwareIsStillRead() {
        final List<Object> stored =
                List.of(
                        "worker",
                        "service",
                        "10.0.0.1",
                        80,
                        "a",
                        "DRAINING",
                        4,
                        20,
                        5,
                        false,
                        List.of(),
                        "",
                        0,
                        "later");

        assertEquals(
                List.of(departure(BackendState.DRAINING, 20, 5)),
                stateWithStored(stored).departures());
    }

    /** Returns the state after a command that holds a departure as it was stored. */
    private static FleetState stateWithStored(List<Object> departure) {
        final FleetState state = FleetState.create();
        state.apply(
                1,
                MessageCodec.encodeValue(
                        List.of(
                                0,
                                new byte[0],
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(departure),
                                List.of())));
        return state;
    }

    @Test
    void removalOfDepartureLeavesOneOfLaterStart() {
        final FleetState state = FleetState.create();
        final BackendAnnouncement earlier = departure(BackendState.GONE, 10, 5);
        final BackendAnnouncement later = departure(BackendState.DRAINING, 20, 1);
        state.apply(1, added(earlier));
        state.apply(2, added(later));
        state.apply(
                3, MessageCodec.encodeValue(FleetCommand.departures(List.of(), List.of(earlier))));
        assertEquals(List.of(later), state.departures());

        state.apply(
                4, MessageCodec.encodeValue(FleetCommand.departures(List.of(), List.of(later))));
        assertEquals(List.of(), state.departures());
    }

    @Test
    void commandsThatWereStoredBeforeDeparturesExistedAreRead() {
        final FleetState state = FleetState.create();
        state.apply(
                1,
                MessageCodec.encodeValue(
                        List.of(7, new byte[] {1}, List.of(), List.of("gateway"), List.of())));

        assertEquals(7, state.view().configurationVersion());
        assertEquals(Set.of("gateway"), state.gateways());
        assertEquals(List.of(), state.departures());
    }

    /** The highest version wins in any order; a snapshot in between changes nothing. */
    @Property(tries = 200)
    void theHighestVersionsWin(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 20) Integer> changes,
            @ForAll @IntRange(min = 0, max = 30) int snapshotAt) {
        FleetState state = FleetState.create();
        long highest = 0;
        int content = 0;
        final Map<String, Long> versions = new TreeMap<>();
        for (int index = 0; index < changes.size(); index++) {
            final int change = changes.get(index);
            if (index % 2 == 0) {
                state.apply(index + 1, configuration(change, index));
                if (change > highest) {
                    highest = change;
                    content = index;
                }
            } else {
                final String adapter = "a" + change % 3;
                state.apply(index + 1, version(adapter, change));
                versions.merge(adapter, (long) change, Math::max);
            }
            if (index == snapshotAt) {
                final FleetState restored = FleetState.create();
                restored.restore(index + 1, state.snapshot());
                state = restored;
            }
        }

        assertEquals(highest, state.view().configurationVersion());
        assertArrayEquals(new byte[] {(byte) content}, state.view().document());
        final Map<String, Long> found = new TreeMap<>();
        state.view()
                .adapterVersions()
                .forEach(required -> found.put(required.adapter(), required.version()));
        assertEquals(versions, found);
    }

    @Test
    void verdictsSurviveSnapshotAndEndByTheirParts() {
        final TraitVerdict first =
                new TraitVerdict(List.of(1L, 2L), List.of(MODEL), List.of(), 3, "leader", 1, 0);
        final TraitVerdict second =
                new TraitVerdict(List.of(3L), List.of(MODEL), List.of("other"), 4, "leader", 2, 1);
        final FleetState state = FleetState.create();
        state.apply(
                1,
                MessageCodec.encodeValue(
                        FleetCommand.verdicts(
                                new VerdictChange(List.of(first, second), List.of()))));
        final FleetState restored = FleetState.create();
        restored.restore(1, state.snapshot());
        assertEquals(List.of(first, second), restored.view().verdicts());

        restored.apply(
                2,
                MessageCodec.encodeValue(
                        FleetCommand.verdicts(
                                new VerdictChange(List.of(), List.of(first.traits())))));

        assertEquals(List.of(second), restored.view().verdicts());
        assertEquals(2, restored.view().revision());
    }
}
