package org.crocushaven.configuration.check;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that tables contain their required keys. */
public final class RequiredKeyCheck implements Check {
    private static final String MESSAGE_MISSING = "key.missing";

    private final List<KeyDescription> required;

    private RequiredKeyCheck(Collection<KeyDescription> keys) {
        required = keys.stream().filter(KeyDescription::required).toList();
    }

    /** Returns a check of those of the given keys that are required. */
    public static RequiredKeyCheck of(Collection<KeyDescription> keys) {
        return new RequiredKeyCheck(keys);
    }

    @Override
    public Set<String> paths() {
        return required.stream().map(KeyDescription::parent).collect(Collectors.toSet());
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        if (node.type() != ValueType.TABLE) {
            return;
        }
        for (final KeyDescription key : required) {
            if (key.parent().equals(node.path()) && node.child(key.name()).isEmpty()) {
                final String prefix = node.key().isEmpty() ? "" : node.key() + ".";
                log.add(
                        node.line(),
                        prefix + key.name(),
                        MESSAGE_MISSING,
                        key.type().description());
            }
        }
    }
}
