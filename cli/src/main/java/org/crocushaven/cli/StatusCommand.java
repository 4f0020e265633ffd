package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import org.crocushaven.status.FleetStatus;
import org.crocushaven.status.InstanceStatus;

/** Shows the instances and the control group. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "shows the instances, the leader and the revision in force";
    }

    @Override
    public List<String> examples() {
        return List.of("crocushaven status --address 127.0.0.1:17101,127.0.0.1:17111");
    }

    @Override
    public void run(Invocation invocation) {
        invocation.arguments(0, 0);
        final FleetStatus status =
                invocation.client().get("status", new TypeReference<FleetStatus>() {});
        final Table table =
                Table.of(
                        "INSTANCE",
                        "FAILURE DOMAIN",
                        "STATE",
                        "VOTER",
                        "LEADER",
                        "CALLERS",
                        "OPERATORS");
        for (final InstanceStatus instance : status.instances()) {
            table.row(
                    instance.name(),
                    instance.failureDomain(),
                    instance.state(),
                    CellText.yesOrEmpty(instance.voter()),
                    CellText.yesOrEmpty(status.leader().map(instance.name()::equals).orElse(false)),
                    instance.callerAddress(),
                    instance.operatorAddress());
        }
        invocation.output().print(status, table);
        invocation
                .console()
                .errors()
                .println(
                        "seen by "
                                + status.instance()
                                + ": revision "
                                + status.revision()
                                + ", term "
                                + status.term()
                                + ", control state "
                                + status.controlStateAgeMillis()
                                + " ms old");
    }
}
