package org.crocushaven.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTableTest {
    private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

    private final MembershipTable table =
            MembershipTable.create(record("self", 1, 0, InstanceRecord.State.ALIVE), SETTINGS, 0);

    private static InstanceRecord record(
            String name, long incarnation, long version, InstanceRecord.State state) {
        return new InstanceRecord(
                name, "a", "127.0.0.1", 1, 2, 3, incarnation, version, false, state);
    }

    private static long millisToNanos(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }

    private InstanceRecord.State stateOf(String name) {
        return table.find(name).orElseThrow().state();
    }

    @Nested
    class Merge {
        @Test
        void keepsTheNewerIncarnation() {
            table.merge(List.of(record("peer", 5, 0, InstanceRecord.State.ALIVE)), 0);
            table.merge(List.of(record("peer", 4, 9, InstanceRecord.State.CRASHED)), 0);

            assertEquals(InstanceRecord.State.ALIVE, stateOf("peer"));
        }

        @Test
        void prefersTheLaterStateAtTheSameVersion() {
            table.merge(List.of(record("peer", 5, 0, InstanceRecord.State.SUSPECT)), 0);
            table.merge(List.of(record("peer", 5, 0, InstanceRecord.State.ALIVE)), 0);

            assertEquals(InstanceRecord.State.SUSPECT, stateOf("peer"));
        }

        @Test
        void refutesCrashOfThisInstance() {
            table.merge(List.of(record("self", 1, 0, InstanceRecord.State.CRASHED)), 0);

            assertEquals(InstanceRecord.State.ALIVE, table.self().state());
            assertEquals(1, table.self().version());
        }

        @Test
        void givesEqualDigestsInAnyOrder() {
            final InstanceRecord first = record("first", 1, 0, InstanceRecord.State.ALIVE);
            final InstanceRecord second = record("second", 1, 2, InstanceRecord.State.LEFT);
            final MembershipTable other =
                    MembershipTable.create(
                            record("self", 1, 0, InstanceRecord.State.ALIVE), SETTINGS, 0);

            table.merge(List.of(first, second), 0);
            other.merge(List.of(second), 0);
            assertNotEquals(table.digest(), other.digest());
            other.merge(List.of(first), 0);

            assertEquals(table.digest(), other.digest());
        }
    }

    @Nested
    class ProbeFailure {
        @Test
        void leadsToCrashedOnlyAfterTheSuspicionTime() {
            table.merge(List.of(record("peer", 1, 0, InstanceRecord.State.ALIVE)), 0);

            table.recordProbeFailure("peer", millisToNanos(100));
            table.tick(millisToNanos(100 + SETTINGS.suspicionMillis() - 1));
            assertEquals(InstanceRecord.State.SUSPECT, stateOf("peer"));
            table.tick(millisToNanos(100 + SETTINGS.suspicionMillis()));

            assertEquals(InstanceRecord.State.CRASHED, stateOf("peer"));
        }

        @Test
        void isRefutedByHigherVersion() {
            table.merge(List.of(record("peer", 1, 0, InstanceRecord.State.ALIVE)), 0);
            table.recordProbeFailure("peer", millisToNanos(100));

            table.merge(
                    List.of(record("peer", 1, 1, InstanceRecord.State.ALIVE)), millisToNanos(200));

            assertEquals(InstanceRecord.State.ALIVE, stateOf("peer"));
        }

        @Test
        void isIgnoredForAnInstanceThatHasLeft() {
            table.merge(List.of(record("peer", 1, 0, InstanceRecord.State.ALIVE)), 0);
            table.merge(List.of(record("peer", 1, 1, InstanceRecord.State.LEFT)), 0);

            assertTrue(table.recordProbeFailure("peer", millisToNanos(1)).isEmpty());
            assertEquals(InstanceRecord.State.LEFT, stateOf("peer"));
        }

        @Test
        void removesStoppedInstanceAfterTheForgetTime() {
            table.merge(List.of(record("peer", 1, 1, InstanceRecord.State.LEFT)), 0);

            table.tick(millisToNanos(SETTINGS.forgetMillis()));

            assertTrue(table.find("peer").isEmpty());
        }
    }

    @Nested
    class PendingChanges {
        @Test
        void areSentSixTimesBetweenTwoInstances() {
            table.merge(List.of(record("peer", 1, 0, InstanceRecord.State.ALIVE)), 0);

            int messages = 0;
            while (table.hasPendingChanges() && messages < 100) {
                table.takePendingChanges(16);
                messages++;
            }

            assertEquals(6, messages);
        }
    }
}
