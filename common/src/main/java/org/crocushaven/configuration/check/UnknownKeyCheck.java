package org.crocushaven.configuration.check;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks that tables contain only keys that the file format defines. */
public final class UnknownKeyCheck implements Check {
    private static final String MESSAGE_UNKNOWN = "key.unknown";

    private final Map<String, KeyDescription> known;

    private UnknownKeyCheck(Collection<KeyDescription> keys) {
        known = keys.stream().collect(Collectors.toMap(KeyDescription::path, Function.identity()));
    }

    /** Returns a check that allows the given keys. */
    public static UnknownKeyCheck of(Collection<KeyDescription> keys) {
        return new UnknownKeyCheck(keys);
    }

    @Override
    public Set<String> paths() {
        return Set.of(EVERY_PATH);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        if (node.type() != ValueType.TABLE || !isKnown(node.path())) {
            return;
        }
        for (final TomlNode child : node.children()) {
            if (!known.containsKey(child.path())) {
                log.add(child, MESSAGE_UNKNOWN, String.join(", ", childNames(node.path())));
            }
        }
    }

    private boolean isKnown(String path) {
        return path.isEmpty() || known.containsKey(path);
    }

    private Set<String> childNames(String path) {
        return known.values().stream()
                .filter(key -> key.parent().equals(path))
                .map(KeyDescription::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
