package org.crocushaven.configuration.check;

import java.math.BigDecimal;
import java.util.Optional;
import java.util.Set;

/** Checks that a number is in a range. */
public final class RangeCheck implements Check {
    private static final String MESSAGE_RANGE = "value.range";

    private final String path;
    private final double minimum;
    private final double maximum;

    private RangeCheck(String path, double minimum, double maximum) {
        this.path = path;
        this.minimum = minimum;
        this.maximum = maximum;
    }

    /** Returns a check that allows numbers from the minimum to the maximum, both included. */
    public static RangeCheck of(String path, double minimum, double maximum) {
        return new RangeCheck(path, minimum, maximum);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<Double> number = node.number();
        if (number.isPresent() && !isAllowed(number.get())) {
            log.add(node, MESSAGE_RANGE, plain(number.get()), plain(minimum), plain(maximum));
        }
    }

    private boolean isAllowed(double number) {
        return number >= minimum && number <= maximum;
    }

    private static String plain(double number) {
        if (!Double.isFinite(number)) {
            return Double.toString(number);
        }
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
}
