package org.crocushaven.configuration.check;

import java.util.Optional;
import java.util.Set;

/** Checks that a value is an IP address with a port. */
public final class AddressCheck implements Check {
    private static final String MESSAGE_ADDRESS = "value.address";

    private final String path;

    private AddressCheck(String path) {
        this.path = path;
    }

    /** Returns a check of the value at a path. */
    public static AddressCheck of(String path) {
        return new AddressCheck(path);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !IpAddress.isValidSocketAddress(text.get())) {
            log.add(node, MESSAGE_ADDRESS, text.get());
        }
    }
}
