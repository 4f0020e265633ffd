package org.crocushaven.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.configuration.AdapterVersion;

/**
 * Counts requests for each adapter version with exponential decay.
 *
 * <p>Counts are stored relative to a reference time, so that a request changes only the count of
 * its own version. When the maximum number of versions is exceeded, the least popular half is
 * removed. Not thread-safe.
 */
public final class PopularityTracker {
    private static final double MAXIMUM_EXPONENT = 200;

    private final double halfLifeNanos;
    private final int maximumVersions;
    private final Map<AdapterVersion, Double> scaledCounts = new HashMap<>();
    private long referenceNanos;

    private PopularityTracker(long halfLifeNanos, int maximumVersions, long nowNanos) {
        this.halfLifeNanos = halfLifeNanos;
        this.maximumVersions = maximumVersions;
        this.referenceNanos = nowNanos;
    }

    /** Returns an empty tracker with the given half-life, in nanoseconds. */
    public static PopularityTracker create(long halfLifeNanos, int maximumVersions, long nowNanos) {
        if (halfLifeNanos <= 0 || maximumVersions < 2) {
            throw new IllegalArgumentException(
                    "halfLifeNanos must be positive and maximumVersions at least 2");
        }
        return new PopularityTracker(halfLifeNanos, maximumVersions, nowNanos);
    }

    /** Counts one request. */
    public void recordUse(AdapterVersion version, long nowNanos) {
        if (exponent(nowNanos) > MAXIMUM_EXPONENT) {
            rescale(nowNanos);
        }
        scaledCounts.merge(version, scale(nowNanos), Double::sum);
        if (scaledCounts.size() > maximumVersions) {
            removeLeastPopular();
        }
    }

    /** Returns the decayed count of a version. */
    public double popularity(AdapterVersion version, long nowNanos) {
        return scaledCounts.getOrDefault(version, 0.0) / scale(nowNanos);
    }

    /** Returns the versions with at least the given decayed count, most popular first. */
    public List<AdapterVersion> popularVersions(double minimumPopularity, long nowNanos) {
        final double minimumScaledCount = minimumPopularity * scale(nowNanos);
        return scaledCounts.entrySet().stream()
                .filter(entry -> entry.getValue() >= minimumScaledCount)
                .sorted(
                        Map.Entry.<AdapterVersion, Double>comparingByValue(
                                        Comparator.reverseOrder())
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private double exponent(long nowNanos) {
        return (nowNanos - referenceNanos) / halfLifeNanos;
    }

    private double scale(long nowNanos) {
        return Math.pow(2, exponent(nowNanos));
    }

    private void rescale(long nowNanos) {
        final double factor = scale(nowNanos);
        scaledCounts.replaceAll((version, value) -> value / factor);
        scaledCounts.values().removeIf(value -> value < Double.MIN_NORMAL);
        referenceNanos = nowNanos;
    }

    private void removeLeastPopular() {
        final List<AdapterVersion> leastPopular =
                scaledCounts.entrySet().stream()
                        .sorted(Map.Entry.comparingByValue())
                        .limit(scaledCounts.size() / 2)
                        .map(Map.Entry::getKey)
                        .toList();
        leastPopular.forEach(scaledCounts::remove);
    }
}
