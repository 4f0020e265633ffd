package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.Acknowledgement;
import org.crocushaven.status.VoterStatus;

/** Lists, adds and removes voters of the control group. */
final class VotersCommand implements Command {
    @Override
    public String name() {
        return "voters";
    }

    @Override
    public String arguments() {
        return "[add INSTANCE | remove INSTANCE]";
    }

    @Override
    public String summary() {
        return "lists, adds and removes voters of the control group";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven voters",
                "crocushaven voters add a2 --timeout 60",
                "crocushaven voters remove a1");
    }

    @Override
    public void run(Invocation invocation) {
        final List<String> arguments = invocation.arguments(0, 2);
        if (arguments.isEmpty()) {
            list(invocation);
            return;
        }
        final String action = invocation.arguments(2, 2).get(0);
        if (!action.equals("add") && !action.equals("remove")) {
            throw ResultException.of(
                    ResultCode.COMMAND_LINE_INVALID, "voters " + action + ": allowed: add, remove");
        }
        final String instance = NameValidator.requireValid(arguments.get(1));
        final Acknowledgement acknowledgement =
                invocation
                        .client()
                        .post(
                                "voters/" + instance + "/" + action,
                                new TypeReference<Acknowledgement>() {});
        invocation
                .output()
                .print(
                        acknowledgement,
                        Table.of("INSTANCE", "DETAIL").row(instance, acknowledgement.detail()));
    }

    private static void list(Invocation invocation) {
        final List<VoterStatus> voters =
                invocation.client().get("voters", new TypeReference<List<VoterStatus>>() {});
        final Table table = Table.of("VOTER", "FAILURE DOMAIN", "STATE", "LEADER");
        for (final VoterStatus voter : voters) {
            table.row(
                    voter.instance(),
                    voter.failureDomain(),
                    voter.state(),
                    CellText.yesOrEmpty(voter.leader()));
        }
        invocation.output().print(voters, table);
    }
}
