package org.crocushaven.fuzz;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Reads the duration and the seed of the randomised tests from system properties and runs their
 * cases.
 *
 * <p>Without system properties a test runs a fixed number of cases from a fixed seed. With {@code
 * crocushaven.fuzz.minutes} it runs cases until the time is up, with {@code crocushaven.fuzz.seed}
 * it starts from that seed, and with {@code crocushaven.fuzz.case} it runs only the one case.
 */
public final class FuzzSettings {
    private static final String MINUTES_PROPERTY = "crocushaven.fuzz.minutes";
    private static final String SEED_PROPERTY = "crocushaven.fuzz.seed";
    private static final String CASE_PROPERTY = "crocushaven.fuzz.case";
    private static final long DEFAULT_SEED = 20_261_203L;

    private FuzzSettings() {}

    /** Returns the maximum number of cases to run: the given one, or no limit in a timed run. */
    public static int caseLimit(int cases) {
        return isTimed() ? Integer.MAX_VALUE : cases;
    }

    /** Returns the seed from which all cases are derived. */
    public static long seed() {
        return Long.getLong(SEED_PROPERTY, DEFAULT_SEED);
    }

    /** Returns whether the run is limited by time instead of by a number of cases. */
    public static boolean isTimed() {
        return Double.parseDouble(System.getProperty(MINUTES_PROPERTY, "0")) > 0;
    }

    /** Returns whether a system property limits the run to the case with the seed that it gives. */
    public static boolean isSingleCase() {
        return System.getProperty(CASE_PROPERTY) != null;
    }

    /**
     * Returns the value of {@code System.nanoTime()} at which a timed run that starts now ends;
     * {@code Long.MAX_VALUE} when the run is not timed.
     */
    public static long deadlineNanos() {
        if (!isTimed()) {
            return Long.MAX_VALUE;
        }
        final double minutes = Double.parseDouble(System.getProperty(MINUTES_PROPERTY));
        return System.nanoTime() + (long) (minutes * TimeUnit.MINUTES.toNanos(1));
    }

    /**
     * Runs the single case given by the system property, or else cases with different seeds until
     * the limit or the deadline is reached or a case fails; the error then contains its seed.
     *
     * @return the number of cases run
     */
    public static int forEachCase(String name, int cases, LongConsumer oneCase) {
        final Long onlyCase = Long.getLong(CASE_PROPERTY);
        if (onlyCase != null) {
            oneCase.accept(onlyCase);
            return 1;
        }
        final RandomGenerator seeds =
                RandomGeneratorFactory.of("SplittableRandom").create(seed() ^ name.hashCode());
        final long deadlineNanos = deadlineNanos();
        final int limit = caseLimit(cases);
        int finished = 0;
        while (finished < limit && (finished == 0 || System.nanoTime() < deadlineNanos)) {
            runCase(name, seeds.nextLong(), oneCase);
            finished++;
        }
        System.out.println("fuzz=" + name + " seed=" + seed() + " cases=" + finished);
        return finished;
    }

    private static void runCase(String name, long caseSeed, LongConsumer oneCase) {
        try {
            oneCase.accept(caseSeed);
        } catch (RuntimeException | AssertionError failure) {
            throw new AssertionError(
                    name + " failed: rerun with -D" + CASE_PROPERTY + "=" + caseSeed, failure);
        }
    }
}
