package org.crocushaven.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Reports a port number that is used twice in one settings file. */
final class PortClashCheck implements Check {
    private static final String MESSAGE_CLASH = "port.clash";

    private PortClashCheck() {}

    static PortClashCheck create() {
        return new PortClashCheck();
    }

    @Override
    public Set<String> paths() {
        return Set.of(SettingsKeys.PORTS);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Map<Long, String> firstKeys = new HashMap<>();
        for (final TomlNode child : node.children()) {
            final Optional<Long> port = child.integer();
            if (port.isEmpty()) {
                continue;
            }
            final String firstKey = firstKeys.putIfAbsent(port.get(), child.key());
            if (firstKey != null) {
                log.add(child, MESSAGE_CLASH, port.get(), firstKey);
            }
        }
    }
}
