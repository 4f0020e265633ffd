package org.crocushaven.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * The voters of a group.
 *
 * <p>A new group knows its voters by name only. The first entry of the first leader binds the names
 * of those that voted for it to their storage identities, and later entries bind the others, once
 * they answer. A voter that is not bound counts in elections, but for no commit.
 *
 * @param voters the voters
 */
public record VoterConfiguration(List<Voter> voters) {
    /** A configuration without voters, of a replica that has not been added yet. */
    public static final VoterConfiguration EMPTY = new VoterConfiguration(List.of());

    /** Copies the list. */
    public VoterConfiguration {
        voters = List.copyOf(voters);
    }

    /** Returns a configuration of voters whose identities are not known yet. */
    public static VoterConfiguration ofNames(List<String> names) {
        return new VoterConfiguration(
                names.stream().map(name -> new Voter(name, Voter.UNBOUND)).toList());
    }

    /** Decodes the result of {@link #encode}. */
    public static VoterConfiguration decode(byte[] encoded) {
        final UnsafeBuffer buffer = new UnsafeBuffer(encoded);
        final List<Voter> voters = new ArrayList<>();
        final int count = buffer.getInt(0);
        int position = Integer.BYTES;
        for (int number = 0; number < count; number++) {
            final long identity = buffer.getLong(position);
            position += Long.BYTES;
            final String name = buffer.getStringUtf8(position);
            position += Integer.BYTES + buffer.getInt(position);
            voters.add(new Voter(name, identity));
        }
        return new VoterConfiguration(voters);
    }

    /** Returns the encoded form that log entries and snapshots contain. */
    public byte[] encode() {
        final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer();
        buffer.putInt(0, voters.size());
        int position = Integer.BYTES;
        for (Voter voter : voters) {
            buffer.putLong(position, voter.identity());
            position += Long.BYTES;
            position += buffer.putStringUtf8(position, voter.name());
        }
        final byte[] encoded = new byte[position];
        buffer.getBytes(0, encoded);
        return encoded;
    }

    /** Returns whether every voter's identity is known. */
    public boolean isBound() {
        return voters.stream().allMatch(Voter::isBound);
    }

    /** Returns the number of voters in a quorum. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns the voter with the given name. */
    public Optional<Voter> find(String name) {
        return voters.stream().filter(voter -> voter.name().equals(name)).findFirst();
    }

    /** Returns whether the replica is a voter; unbound voters match by name only. */
    public boolean includes(String name, long identity) {
        return find(name)
                .filter(voter -> voter.identity() == identity || !voter.isBound())
                .isPresent();
    }

    /** Returns whether the voter of that name has another identity. */
    public boolean isForeign(String name, long identity) {
        return find(name).isPresent() && !includes(name, identity);
    }

    /**
     * Returns whether the votes of replicas with these identities, by name, elect a leader.
     *
     * @param formation which voters must vote while any identity is unbound
     */
    public boolean hasElectionQuorum(Map<String, Long> identities, FormationRule formation) {
        final long votes =
                voters.stream()
                        .map(Voter::name)
                        .filter(identities::containsKey)
                        .filter(name -> includes(name, identities.get(name)))
                        .count();
        final boolean majorityElects = isBound() || formation == FormationRule.MAJORITY;
        return !voters.isEmpty() && votes >= (majorityElects ? quorum() : voters.size());
    }

    /** Returns the same voters, those not bound yet bound to these identities, by name. */
    public VoterConfiguration bind(Map<String, Long> identities) {
        return new VoterConfiguration(
                voters.stream()
                        .map(
                                voter ->
                                        voter.isBound()
                                                ? voter
                                                : new Voter(
                                                        voter.name(),
                                                        identities.getOrDefault(
                                                                voter.name(), Voter.UNBOUND)))
                        .toList());
    }

    /** Returns a configuration with one more voter. */
    public VoterConfiguration with(Voter voter) {
        final List<Voter> changed = new ArrayList<>(voters);
        changed.add(voter);
        return new VoterConfiguration(changed);
    }

    /** Returns a configuration without the voter of the given name. */
    public VoterConfiguration without(String name) {
        return new VoterConfiguration(
                voters.stream().filter(voter -> !voter.name().equals(name)).toList());
    }

    /** Returns the names of the voters. */
    public List<String> names() {
        return voters.stream().map(Voter::name).toList();
    }
}
