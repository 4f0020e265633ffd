package org.crocushaven.fuzz;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Counts how often each injected fault and each targeted state occurred over the cases of a run.
 *
 * @param <F> the enumeration of the faults and states
 */
public final class FaultCounts<F extends Enum<F>> {
    private final Class<F> faults;
    private final Map<F, Long> counts;

    private FaultCounts(Class<F> faults) {
        this.faults = faults;
        this.counts = new EnumMap<>(faults);
    }

    /** Returns counters at zero for every constant of the enumeration. */
    public static <F extends Enum<F>> FaultCounts<F> of(Class<F> faults) {
        return new FaultCounts<>(faults);
    }

    /** Counts one occurrence. */
    public void count(F fault) {
        counts.merge(fault, 1L, Long::sum);
    }

    /** Returns how often the fault occurred. */
    public long get(F fault) {
        return counts.getOrDefault(fault, 0L);
    }

    /** Returns the counts so far. */
    public Map<F, Long> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /** Prints all counts on one line. */
    public void print(String name) {
        final String line =
                Stream.of(faults.getEnumConstants())
                        .map(fault -> fault.name().toLowerCase() + "=" + get(fault))
                        .collect(Collectors.joining(" "));
        System.out.println("fuzz=" + name + " " + line);
    }

    /** Throws an {@link AssertionError} when a declared fault or state never occurred. */
    public void assertAllOccurred() {
        final List<F> missing =
                Stream.of(faults.getEnumConstants()).filter(fault -> get(fault) == 0).toList();
        if (!missing.isEmpty()) {
            throw new AssertionError("never occurred in this run: " + missing);
        }
    }
}
