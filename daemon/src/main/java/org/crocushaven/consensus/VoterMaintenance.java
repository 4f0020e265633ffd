package org.crocushaven.consensus;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Decides which instance is added to the voters and which voter is removed, one at a time.
 *
 * <p>A voter that lost its disk is added again. A voter that is silent or stops is removed only
 * once another instance has been added in its place, so that the number of voters never falls below
 * the target. While another instance is there, this needs no long silence: a replacement can be
 * undone, while a group that keeps a lost voter does not bear the next loss.
 *
 * <p>Every instance collects the evidence from its start on, whether it leads or not, so that no
 * election and no loss of a lease delays a replacement. Not thread-safe.
 */
public final class VoterMaintenance {
    /**
     * Number of the longest election timeouts after which a voter is silent; by then a leader that
     * succeeds it has been elected.
     */
    private static final int SILENT_ELECTIONS = 2;

    /** Time since it was last heard from for which an instance is present. */
    private static final long PRESENT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final int targetVoters;
    private final long silentNanos;
    private final VoterEvidence evidence;
    private final Set<String> stopping = new HashSet<>();

    /**
     * Creates the voter maintenance of an instance that has heard from no other.
     *
     * @param toleratedLosses number of instances that may be lost at once
     */
    public VoterMaintenance(int toleratedLosses, ReplicaTiming timing, long nowNanos) {
        this.targetVoters = 2 * toleratedLosses + 1;
        this.silentNanos = SILENT_ELECTIONS * timing.maximumElectionNanos();
        this.evidence = new VoterEvidence(nowNanos);
    }

    /** Records that this instance is running; due at least each 500 ms. */
    public void observe(long nowNanos) {
        evidence.observe(nowNanos);
    }

    /** Records that an instance that can hold control state has just been heard from. */
    public void heard(String instance, long nowNanos) {
        stopping.remove(instance);
        evidence.heard(instance, nowNanos);
    }

    /** Records that an instance has begun to stop; it counts as silent until it is heard again. */
    public void stopping(String instance) {
        stopping.add(instance);
    }

    /** Returns whether an instance is present that could become a voter. */
    public boolean hasSpare(String self, List<String> voters) {
        return spares(self, voters).findAny().isPresent();
    }

    /** Records when the last message of the group came from an instance. */
    public void contacted(String instance, long atNanos, long nowNanos) {
        evidence.contacted(instance, atNanos, nowNanos);
    }

    /** Returns the observed time since an instance was heard from, in milliseconds. */
    public long silentMillis(String instance) {
        return TimeUnit.NANOSECONDS.toMillis(evidence.silentNanos(instance));
    }

    /**
     * Returns the next change of voters; empty if none is due. Only the leader may ask.
     *
     * @param self name of the leader
     * @param foreign voters that lost their disk, so that another replica answers under their name
     */
    public Optional<Step> next(String self, List<String> voters, Collection<String> foreign) {
        final Optional<String> returned = foreign.stream().filter(this::isPresent).findFirst();
        if (returned.isPresent()) {
            return Optional.of(new Step(true, returned.get()));
        }
        final Optional<String> silent =
                voters.stream().filter(name -> mustLeave(self, name)).findFirst();
        if (voters.size() > targetVoters && silent.isPresent()) {
            return Optional.of(new Step(false, silent.get()));
        }
        final boolean needsVoter =
                voters.size() < targetVoters || voters.size() == targetVoters && silent.isPresent();
        return needsVoter
                ? spares(self, voters).sorted().findFirst().map(name -> new Step(true, name))
                : Optional.empty();
    }

    /** Returns the instances that are present and no voters. */
    private Stream<String> spares(String self, List<String> voters) {
        return evidence.instances().stream()
                .filter(name -> !name.equals(self) && !voters.contains(name))
                .filter(name -> !stopping.contains(name) && isPresent(name));
    }

    private boolean isPresent(String name) {
        return evidence.instances().contains(name) && evidence.silentNanos(name) < PRESENT_NANOS;
    }

    private boolean mustLeave(String self, String name) {
        return stopping.contains(name)
                || !name.equals(self) && evidence.silentNanos(name) >= silentNanos;
    }

    /**
     * A change of voters.
     *
     * @param add whether the instance is added, otherwise it is removed
     * @param instance its name
     */
    public record Step(boolean add, String instance) {}
}
