package org.crocushaven.configuration.servicefile;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/**
 * Checks that a service has the keys that its kind requires and none that its kind does not allow.
 */
final class ServiceKindCheck implements Check {
    private static final String MESSAGE_NOT_ALLOWED = "service.kind.foreign";
    private static final String MESSAGE_REQUIRED = "service.kind.lacking";
    private static final List<String> ENGINE_KEYS =
            List.of(
                    ServiceFileKeys.BASE_MODEL,
                    ServiceFileKeys.OPEN,
                    ServiceFileKeys.RESIDENT_ADAPTERS);

    private ServiceKindCheck() {}

    static ServiceKindCheck create() {
        return new ServiceKindCheck();
    }

    @Override
    public Set<String> paths() {
        return Set.of(ServiceFileKeys.SERVICE);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<String> kind = node.child(ServiceFileKeys.KIND).flatMap(TomlNode::text);
        if (kind.equals(Optional.of(ServiceFileKeys.KIND_ENGINE))) {
            require(node, ServiceFileKeys.BASE_MODEL, kind.get(), log);
            refuse(node, ServiceFileKeys.ROUTES, kind.get(), log);
        } else if (kind.equals(Optional.of(ServiceFileKeys.KIND_PLAIN))) {
            require(node, ServiceFileKeys.ROUTES, kind.get(), log);
            ENGINE_KEYS.forEach(key -> refuse(node, key, kind.get(), log));
        }
    }

    private static void require(TomlNode node, String key, String kind, ViolationLog log) {
        if (node.child(key).isEmpty()) {
            log.add(node, MESSAGE_REQUIRED, kind, key);
        }
    }

    private static void refuse(TomlNode node, String key, String kind, ViolationLog log) {
        node.child(key).ifPresent(child -> log.add(child, MESSAGE_NOT_ALLOWED, kind));
    }
}
