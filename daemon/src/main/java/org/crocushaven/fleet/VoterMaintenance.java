package org.crocushaven.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides which instance is added to the voters and which voter is removed, one at a time.
 *
 * <p>A voter that lost its disk is added again. A silent voter is removed only once another
 * instance has been added in its place, so that the number of voters never falls below the target.
 * Not thread-safe.
 */
final class VoterMaintenance {
    /**
     * Time since it was last alive after which a voter is silent; longer than any network partition
     * or process pause that is likely to end by itself.
     */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long PRESENT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final int targetVoters;
    private final long sinceNanos;
    private final Map<String, Long> lastAliveNanos = new HashMap<>();

    /**
     * Creates the voter maintenance of a new leader.
     *
     * @param toleratedLosses number of instances that may be lost at once
     */
    VoterMaintenance(int toleratedLosses, long nowNanos) {
        this.targetVoters = 2 * toleratedLosses + 1;
        this.sinceNanos = nowNanos;
    }

    /** Records that an instance that can hold control state is alive. */
    void markAlive(String instance, long nowNanos) {
        lastAliveNanos.put(instance, nowNanos);
    }

    /**
     * Returns the next change of voters; empty if none is due.
     *
     * @param self name of the leader
     * @param foreign voters that lost their disk, so that another replica answers under their name
     */
    Optional<Step> next(
            String self, List<String> voters, Collection<String> foreign, long nowNanos) {
        final Optional<String> returned =
                foreign.stream().filter(name -> isPresent(name, nowNanos)).findFirst();
        if (returned.isPresent()) {
            return Optional.of(new Step(true, returned.get()));
        }
        final Optional<String> silent =
                voters.stream()
                        .filter(name -> !name.equals(self) && isSilent(name, nowNanos))
                        .findFirst();
        if (voters.size() > targetVoters && silent.isPresent()) {
            return Optional.of(new Step(false, silent.get()));
        }
        final boolean needsVoter =
                voters.size() < targetVoters || voters.size() == targetVoters && silent.isPresent();
        return needsVoter
                ? lastAliveNanos.keySet().stream()
                        .filter(name -> !voters.contains(name) && isPresent(name, nowNanos))
                        .sorted()
                        .findFirst()
                        .map(name -> new Step(true, name))
                : Optional.empty();
    }

    private boolean isPresent(String name, long nowNanos) {
        final Long aliveNanos = lastAliveNanos.get(name);
        return aliveNanos != null && nowNanos - aliveNanos < PRESENT_NANOS;
    }

    private boolean isSilent(String name, long nowNanos) {
        return nowNanos - lastAliveNanos.getOrDefault(name, sinceNanos) >= SILENT_NANOS;
    }

    /**
     * A change of voters.
     *
     * @param add whether the instance is added, otherwise it is removed
     * @param instance its name
     */
    record Step(boolean add, String instance) {}
}
