package org.crocushaven.configuration.servicefile;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Checks that the default version of an adapter is one of its versions. */
final class DefaultVersionCheck implements Check {
    private static final String MESSAGE_DEFAULT = "adapter.default";

    private final String tablePath;

    private DefaultVersionCheck(String tablePath) {
        this.tablePath = tablePath;
    }

    static DefaultVersionCheck of(String tablePath) {
        return new DefaultVersionCheck(tablePath);
    }

    @Override
    public Set<String> paths() {
        return Set.of(tablePath);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<TomlNode> defaultVersion = node.child(ServiceFileKeys.DEFAULT);
        final Optional<String> version = defaultVersion.flatMap(TomlNode::text);
        final List<String> versions = node.texts(ServiceFileKeys.VERSIONS);
        if (version.isPresent() && !versions.contains(version.get())) {
            log.add(
                    defaultVersion.get(),
                    MESSAGE_DEFAULT,
                    version.get(),
                    String.join(", ", versions));
        }
    }
}
