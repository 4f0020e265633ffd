package org.crocushaven.configuration.check;

import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Checks that a value is an address. */
public final class AddressCheck implements Check {
    private static final String MESSAGE_IP_ADDRESS = "value.ip.number";
    private static final String MESSAGE_SOCKET_ADDRESS = "value.address";

    private final String path;
    private final Predicate<String> isValid;
    private final String messageKey;

    private AddressCheck(String path, Predicate<String> isValid, String messageKey) {
        this.path = path;
        this.isValid = isValid;
        this.messageKey = messageKey;
    }

    /** Returns a check that the value at a path is an IP address. */
    public static AddressCheck ofIpAddress(String path) {
        return new AddressCheck(path, IpAddress::isValid, MESSAGE_IP_ADDRESS);
    }

    /** Returns a check that the value at a path is an IP address with a port. */
    public static AddressCheck ofSocketAddress(String path) {
        return new AddressCheck(path, IpAddress::isValidSocketAddress, MESSAGE_SOCKET_ADDRESS);
    }

    @Override
    public Set<String> paths() {
        return Set.of(path);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> text = node.text();
        if (text.isPresent() && !isValid.test(text.get())) {
            log.add(node, messageKey, text.get());
        }
    }
}
