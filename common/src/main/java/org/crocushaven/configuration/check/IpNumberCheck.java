package org.crocushaven.configuration.check;

import java.util.Optional;
import java.util.Set;

/** Checks that a value is an IP address. */
public final class IpNumberCheck implements Check {
    private static final String MESSAGE_NUMBER = "value.ip.number";

    private final String path;

    private IpNumberCheck(String path) {
        this.path = path;
    }

    /** Returns a check of the value at a path. */
    public static IpNumberCheck of(String path) {
        return new IpNumberCheck(path);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !IpNumber.isValid(text.get())) {
            log.add(node, MESSAGE_NUMBER, text.get());
        }
    }
}
