package org.crocushaven.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.agrona.collections.Object2LongHashMap;

/**
 * Holds the records of the known instances, merged from the records of other instances and the
 * results of this instance's probes.
 *
 * <p>Performs no I/O and starts no threads; not thread-safe. Each change is sent with the next
 * messages, a number of times that grows with the logarithm of the number of instances.
 */
public final class MembershipTable {
    private static final int TRANSMISSION_FACTOR = 3;
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long NO_TIME = Long.MIN_VALUE;

    private final MembershipSettings settings;
    private final Map<String, InstanceRecord> records = new TreeMap<>();
    private final Map<String, Integer> remainingTransmissions = new HashMap<>();
    private final Object2LongHashMap<String> stateSinceNanos = new Object2LongHashMap<>(NO_TIME);
    private InstanceRecord self;
    private long digest;

    private MembershipTable(InstanceRecord self, MembershipSettings settings) {
        this.settings = settings;
        this.self = self;
    }

    /** Returns a table that knows only this instance. */
    public static MembershipTable create(
            InstanceRecord self, MembershipSettings settings, long nowNanos) {
        final MembershipTable table = new MembershipTable(self, settings);
        table.put(self, nowNanos);
        return table;
    }

    /** Returns this instance's own record. */
    public InstanceRecord self() {
        return self;
    }

    /** Returns every known instance in name order. */
    public List<InstanceRecord> instances() {
        return List.copyOf(records.values());
    }

    /** Returns the instance with the given name. */
    public Optional<InstanceRecord> find(String name) {
        return Optional.ofNullable(records.get(name));
    }

    /**
     * Returns a hash over the names, incarnations, versions and states of all records, by which two
     * tables are compared.
     */
    public long digest() {
        return digest;
    }

    /**
     * Adopts the records that are newer than the known ones and returns them. A record of this
     * instance is never adopted; if it has the current incarnation and is newer than its own
     * record, the instance keeps its state and gives its own record a higher version.
     */
    public List<InstanceRecord> merge(Collection<InstanceRecord> others, long nowNanos) {
        final List<InstanceRecord> changed = new ArrayList<>();
        for (final InstanceRecord other : others) {
            if (other.name().equals(self.name())) {
                refute(other, nowNanos);
                continue;
            }
            final InstanceRecord known = records.get(other.name());
            if (known == null || other.isNewerThan(known)) {
                put(other, nowNanos);
                changed.add(other);
            }
        }
        return changed;
    }

    /** Records that an instance did not answer a probe; returns the changed record, if any. */
    public Optional<InstanceRecord> recordProbeFailure(String name, long nowNanos) {
        return find(name)
                .filter(
                        known ->
                                known.state() == InstanceRecord.State.ALIVE
                                        || known.state() == InstanceRecord.State.LEAVING)
                .map(known -> change(known, InstanceRecord.State.SUSPECT, nowNanos));
    }

    /**
     * Marks suspected instances as crashed after the suspicion time, and removes crashed and
     * stopped ones after the forget time; returns the records that were marked as crashed.
     */
    public List<InstanceRecord> tick(long nowNanos) {
        final List<InstanceRecord> changed = new ArrayList<>();
        for (final InstanceRecord known : instances()) {
            final long ageNanos = nowNanos - stateSinceNanos.getValue(known.name());
            if (known.state() == InstanceRecord.State.SUSPECT
                    && ageNanos >= TimeUnit.MILLISECONDS.toNanos(settings.suspicionMillis())) {
                changed.add(change(known, InstanceRecord.State.CRASHED, nowNanos));
            } else if (!known.state().isReachable()
                    && ageNanos >= TimeUnit.MILLISECONDS.toNanos(settings.forgetMillis())) {
                remove(known);
            }
        }
        return changed;
    }

    /** Changes the state of this instance; the change is sent with the next messages. */
    public InstanceRecord announce(InstanceRecord.State state, long nowNanos) {
        self = self.with(self.version() + 1, state);
        put(self, nowNanos);
        return self;
    }

    /**
     * Returns the changes for the next message, those with the most transmissions left first, and
     * counts one transmission of each.
     */
    public List<InstanceRecord> takePendingChanges(int maximum) {
        final List<String> names =
                remainingTransmissions.entrySet().stream()
                        .sorted(
                                Map.Entry.<String, Integer>comparingByValue(
                                                Comparator.reverseOrder())
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(maximum)
                        .map(Map.Entry::getKey)
                        .toList();
        names.forEach(
                name ->
                        remainingTransmissions.compute(
                                name, (key, count) -> count <= 1 ? null : count - 1));
        return names.stream().map(records::get).toList();
    }

    /** Returns whether any change is still to be sent. */
    public boolean hasPendingChanges() {
        return !remainingTransmissions.isEmpty();
    }

    private void refute(InstanceRecord received, long nowNanos) {
        final boolean sameIncarnation = received.incarnation() == self.incarnation();
        if (sameIncarnation && received.isNewerThan(self)) {
            self = self.with(received.version() + 1, self.state());
            put(self, nowNanos);
        }
    }

    private InstanceRecord change(InstanceRecord known, InstanceRecord.State state, long nowNanos) {
        final InstanceRecord changed = known.withState(state);
        put(changed, nowNanos);
        return changed;
    }

    private void put(InstanceRecord record, long nowNanos) {
        final InstanceRecord previous = records.put(record.name(), record);
        digest ^= digestOf(record);
        if (previous != null) {
            digest ^= digestOf(previous);
        }
        if (previous == null || previous.state() != record.state()) {
            stateSinceNanos.put(record.name(), nowNanos);
        }
        remainingTransmissions.put(record.name(), transmissions());
    }

    private void remove(InstanceRecord record) {
        records.remove(record.name());
        stateSinceNanos.removeKey(record.name());
        remainingTransmissions.remove(record.name());
        digest ^= digestOf(record);
    }

    private static long digestOf(InstanceRecord record) {
        long hash = record.name().hashCode();
        hash = hash * DIGEST_MULTIPLIER + record.incarnation();
        hash = hash * DIGEST_MULTIPLIER + record.version();
        hash = hash * DIGEST_MULTIPLIER + record.state().ordinal();
        return hash * DIGEST_MULTIPLIER;
    }

    private int transmissions() {
        return TRANSMISSION_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(records.size()));
    }
}
