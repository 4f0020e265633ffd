package org.crocushaven.routing;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.Predicate;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Maps adapter versions to backend servers by consistent hashing.
 *
 * <p>Every instance with the same members computes the same order. A member has many points on the
 * ring, so that its versions are spread over all other members when it leaves. Immutable.
 */
final class HashRing {
    private static final int POINTS_PER_MEMBER = 64;
    private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long[] points;
    private final BackendView[] members;

    private HashRing(long[] points, BackendView[] members) {
        this.points = points;
        this.members = members;
    }

    static HashRing of(Collection<BackendView> views) {
        final int count = views.size() * POINTS_PER_MEMBER;
        final Point[] sorted = new Point[count];
        int position = 0;
        for (final BackendView view : views) {
            final long base = hash(view.name());
            for (int number = 0; number < POINTS_PER_MEMBER; number++) {
                sorted[position] = new Point(mix(base + number * MIX_MULTIPLIER_2), view);
                position++;
            }
        }
        Arrays.sort(
                sorted,
                (one, other) ->
                        one.hash != other.hash
                                ? Long.compare(one.hash, other.hash)
                                : one.view.name().compareTo(other.view.name()));
        final long[] points = new long[count];
        final BackendView[] members = new BackendView[count];
        for (int index = 0; index < count; index++) {
            points[index] = sorted[index].hash;
            members[index] = sorted[index].view;
        }
        return new HashRing(points, members);
    }

    /**
     * Returns the first member that satisfies the condition, in ring order from the point of the
     * version.
     *
     * @param maximumSteps maximum number of points to examine
     * @return the member, null if none of the points examined belongs to such a member
     */
    BackendView first(AdapterVersion version, int maximumSteps, Predicate<BackendView> condition) {
        if (points.length == 0) {
            return null;
        }
        final long versionHash = mix(hash(version.adapter()) * FNV_PRIME ^ hash(version.version()));
        final int found = Arrays.binarySearch(points, versionHash);
        int position = found >= 0 ? found : -found - 1;
        for (int step = 0; step < Math.min(maximumSteps, points.length); step++) {
            final BackendView member = members[position % points.length];
            if (condition.test(member)) {
                return member;
            }
            position++;
        }
        return null;
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * MIX_MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 33)) * MIX_MULTIPLIER_2;
        return mixed ^ (mixed >>> 33);
    }

    private record Point(long hash, BackendView view) {}
}
