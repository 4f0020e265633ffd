package org.crocushaven.configuration.check;

import java.util.Optional;
import java.util.Set;

/** Checks that a value is an IP address. */
public final class IpAddressCheck implements Check {
    private static final String MESSAGE_IP_ADDRESS = "value.ip.number";

    private final String path;

    private IpAddressCheck(String path) {
        this.path = path;
    }

    /** Returns a check of the value at a path. */
    public static IpAddressCheck of(String path) {
        return new IpAddressCheck(path);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !IpAddress.isValid(text.get())) {
            log.add(node, MESSAGE_IP_ADDRESS, text.get());
        }
    }
}
