package org.crocushaven.configuration.check;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Checks that a string is one of a list of allowed values. */
public final class OneOfCheck implements Check {
    private static final String MESSAGE_ONE_OF = "value.oneof";

    private final String path;
    private final List<String> values;

    private OneOfCheck(String path, List<String> values) {
        this.path = path;
        this.values = values;
    }

    /** Returns a check that allows the given values. */
    public static OneOfCheck of(String path, List<String> values) {
        return new OneOfCheck(path, List.copyOf(values));
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !values.contains(text.get())) {
            log.add(node, MESSAGE_ONE_OF, text.get(), String.join(", ", values));
        }
    }
}
