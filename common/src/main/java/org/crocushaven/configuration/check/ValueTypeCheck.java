package org.crocushaven.configuration.check;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that values have the types of their keys. */
public final class ValueTypeCheck implements Check {
    private static final String MESSAGE_TYPE = "value.type";

    private final Map<String, ValueType> types;

    private ValueTypeCheck(Collection<KeyDescription> keys) {
        types = keys.stream().collect(Collectors.toMap(KeyDescription::path, KeyDescription::type));
    }

    /** Returns a check of the types of the given keys. */
    public static ValueTypeCheck of(Collection<KeyDescription> keys) {
        return new ValueTypeCheck(keys);
    }

    @Override
    public Set<String> paths() {
        return types.keySet();
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final ValueType expected = types.get(node.path());
        if (!expected.accepts(node.type())) {
            log.add(node, MESSAGE_TYPE, expected.description(), node.type().description());
        }
    }
}
