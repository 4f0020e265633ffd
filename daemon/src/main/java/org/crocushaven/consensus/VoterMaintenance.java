package org.crocushaven.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Decides which instance is added to the voters and which voter is removed, one at a time.
 *
 * <p>A voter that lost its disk is added again. A silent voter is removed only once another
 * instance has been added in its place, so that the number of voters never falls below the target.
 *
 * <p>Every instance collects the evidence from its start on, whether it leads or not, so that no
 * election and no loss of a lease delays a replacement. Not thread-safe.
 */
public final class VoterMaintenance {
    /**
     * Time since it was last heard from after which a voter is silent; longer than any network
     * partition or process pause that is likely to end by itself.
     */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Time since it was last heard from for which an instance is present. */
    private static final long PRESENT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final int targetVoters;
    private final VoterEvidence evidence;

    /**
     * Creates the voter maintenance of an instance that has heard from no other.
     *
     * @param toleratedLosses number of instances that may be lost at once
     */
    public VoterMaintenance(int toleratedLosses, long nowNanos) {
        this.targetVoters = 2 * toleratedLosses + 1;
        this.evidence = new VoterEvidence(nowNanos);
    }

    /** Records that this instance is running; due at least each 500 ms. */
    public void observe(long nowNanos) {
        evidence.observe(nowNanos);
    }

    /** Records that an instance that can hold control state has just been heard from. */
    public void heard(String instance, long nowNanos) {
        evidence.heard(instance, nowNanos);
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
                voters.stream().filter(name -> !name.equals(self) && isSilent(name)).findFirst();
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
                .filter(name -> !name.equals(self) && !voters.contains(name) && isPresent(name));
    }

    private boolean isPresent(String name) {
        return evidence.instances().contains(name) && evidence.silentNanos(name) < PRESENT_NANOS;
    }

    private boolean isSilent(String name) {
        return evidence.silentNanos(name) >= SILENT_NANOS;
    }

    /**
     * A change of voters.
     *
     * @param add whether the instance is added, otherwise it is removed
     * @param instance its name
     */
    public record Step(boolean add, String instance) {}
}
