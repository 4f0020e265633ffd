package org.crocushaven.configuration.servicefile;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Checks that no two routes have the same method and path. */
final class DistinctRoutesCheck implements Check {
    private static final String MESSAGE_DUPLICATE = "route.duplicate";

    private DistinctRoutesCheck() {}

    static DistinctRoutesCheck create() {
        return new DistinctRoutesCheck();
    }

    @Override
    public Set<String> paths() {
        return Set.of("service.routes");
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Map<String, Integer> firstLines = new HashMap<>();
        for (final TomlNode route : node.children()) {
            final Optional<String> method =
                    route.child(ServiceFileKeys.METHOD).flatMap(TomlNode::text);
            final Optional<String> path = route.child(ServiceFileKeys.PATH).flatMap(TomlNode::text);
            if (method.isEmpty() || path.isEmpty()) {
                continue;
            }
            final String methodAndPath = method.get() + " " + path.get();
            final Integer firstLine = firstLines.putIfAbsent(methodAndPath, route.line());
            if (firstLine != null) {
                log.add(route, MESSAGE_DUPLICATE, methodAndPath, firstLine);
            }
        }
    }
}
