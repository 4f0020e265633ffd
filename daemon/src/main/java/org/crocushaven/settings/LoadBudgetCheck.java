package org.crocushaven.settings;

import java.util.Optional;
import java.util.Set;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.ViolationLog;

/** Reports a load budget that allows more loads at full speed than loads in flight. */
final class LoadBudgetCheck implements Check {
    private static final String MESSAGE_ORDER = "load.budget.order";

    private LoadBudgetCheck() {}

    static LoadBudgetCheck create() {
        return new LoadBudgetCheck();
    }

    @Override
    public Set<String> paths() {
        return Set.of(SettingsKeys.LOAD_BUDGET);
    }

    @Override
    public void visit(TomlNode node, ViolationLog log) {
        final Optional<TomlNode> fullSpeed = node.child("full_speed_loads");
        final long fullSpeedLoads =
                fullSpeed
                        .flatMap(TomlNode::integer)
                        .orElse((long) LoadBudgetSettings.DEFAULT_FULL_SPEED_LOADS);
        final long maximumInFlight =
                node.child("maximum_in_flight")
                        .flatMap(TomlNode::integer)
                        .orElse((long) LoadBudgetSettings.DEFAULT_MAXIMUM_IN_FLIGHT);
        if (fullSpeedLoads > maximumInFlight) {
            log.add(fullSpeed.orElse(node), MESSAGE_ORDER, fullSpeedLoads, maximumInFlight);
        }
    }
}
