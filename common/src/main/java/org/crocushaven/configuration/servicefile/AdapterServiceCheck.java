package org.crocushaven.configuration.servicefile;

import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Checks that adapters name their service in a file without a service table. */
final class AdapterServiceCheck implements Check {
    private static final String MESSAGE_SERVICE = "adapter.service";

    private final String tablePath;

    private AdapterServiceCheck(String tablePath) {
        this.tablePath = tablePath;
    }

    static AdapterServiceCheck of(String tablePath) {
        return new AdapterServiceCheck(tablePath);
    }

    @Override
    public Set<String> paths() {
        return Set.of(ROOT_PATH);
    }

    @Override
    public void visit(TomlNode root, ViolationLog log) {
        if (root.child(ServiceFileKeys.SERVICE).isPresent()) {
            return;
        }
        final String array = tablePath.substring(0, tablePath.length() - "[]".length());
        root.child(array)
                .map(TomlNode::children)
                .ifPresent(
                        elements ->
                                elements.stream()
                                        .filter(AdapterServiceCheck::namesNoService)
                                        .forEach(element -> log.add(element, MESSAGE_SERVICE)));
    }

    private static boolean namesNoService(TomlNode element) {
        return element.child(ServiceFileKeys.SERVICE).isEmpty();
    }
}
