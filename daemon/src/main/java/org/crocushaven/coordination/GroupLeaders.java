package org.crocushaven.coordination;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.crocushaven.membership.InstanceRecord;
import org.crocushaven.membership.MembershipView;

/**
 * Caches the leader of each group, and selects a voter to ask while the leader is unknown.
 * Thread-safe.
 */
public final class GroupLeaders {
    private final MembershipView membership;
    private final Map<Integer, String> leaders = new ConcurrentHashMap<>();
    private final AtomicInteger rotation = new AtomicInteger();

    private GroupLeaders(MembershipView membership) {
        this.membership = membership;
    }

    /** Returns a cache without known leaders. */
    public static GroupLeaders create(MembershipView membership) {
        return new GroupLeaders(membership);
    }

    /**
     * Returns the instance to ask next: the known leader, or else one of the reachable voters, each
     * in turn; empty when there is none.
     */
    public Optional<String> nextTarget(int groupId) {
        final String known = leaders.get(groupId);
        if (known != null) {
            return Optional.of(known);
        }
        final List<String> voters =
                membership.instances().stream()
                        .filter(InstanceRecord::canBecomeVoter)
                        .filter(record -> record.state().isReachable())
                        .map(InstanceRecord::name)
                        .toList();
        return voters.isEmpty()
                ? Optional.empty()
                : Optional.of(voters.get(Math.floorMod(rotation.getAndIncrement(), voters.size())));
    }

    /** Returns the instance that last answered as leader or that a hint named as leader. */
    public Optional<String> knownLeader(int groupId) {
        return Optional.ofNullable(leaders.get(groupId));
    }

    /** Records that an instance answered as leader. */
    public void recordLeader(int groupId, String instance) {
        leaders.put(groupId, instance);
    }

    /**
     * Records that an instance did not answer or is not the leader.
     *
     * @param hint the instance that it named as leader; empty when it named none
     */
    public void recordNotLeader(int groupId, String instance, String hint) {
        if (hint.isEmpty() || hint.equals(instance)) {
            leaders.remove(groupId, instance);
        } else {
            leaders.put(groupId, hint);
        }
    }
}
