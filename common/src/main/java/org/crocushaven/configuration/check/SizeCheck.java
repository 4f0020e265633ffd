package org.crocushaven.configuration.check;

import java.util.Set;

/** Checks that the number of elements of an array is in a range. */
public final class SizeCheck implements Check {
    private static final String MESSAGE_SIZE = "array.size";

    private final String path;
    private final int minimum;
    private final int maximum;

    private SizeCheck(String path, int minimum, int maximum) {
        this.path = path;
        this.minimum = minimum;
        this.maximum = maximum;
    }

    /** Returns a check that allows sizes from the minimum to the maximum, both included. */
    public static SizeCheck of(String path, int minimum, int maximum) {
        return new SizeCheck(path, minimum, maximum);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        if (node.type() != ValueType.ARRAY) {
            return;
        }
        final int size = node.children().size();
        if (size < minimum || size > maximum) {
            log.add(node, MESSAGE_SIZE, size, minimum, maximum);
        }
    }
}
