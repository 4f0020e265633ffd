package org.crocushaven.settings;

/**
 * Limits on loads from the weight store, for the whole fleet.
 *
 * @param loadsPerSecond maximum number of loads started each second
 * @param fullSpeedLoads number of concurrent loads that run at full speed
 * @param maximumInFlight maximum number of loads in flight; with more, every load slows down
 */
public record LoadBudgetSettings(double loadsPerSecond, int fullSpeedLoads, int maximumInFlight) {
    public static final double DEFAULT_LOADS_PER_SECOND = 5.0;
    public static final int DEFAULT_FULL_SPEED_LOADS = 2;
    public static final int DEFAULT_MAXIMUM_IN_FLIGHT = 16;

    /** Returns the default limits. */
    public static LoadBudgetSettings defaults() {
        return new LoadBudgetSettings(
                DEFAULT_LOADS_PER_SECOND, DEFAULT_FULL_SPEED_LOADS, DEFAULT_MAXIMUM_IN_FLIGHT);
    }
}
