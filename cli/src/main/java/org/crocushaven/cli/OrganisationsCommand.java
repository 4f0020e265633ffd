package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import org.crocushaven.configuration.Organisation;

/** Lists the organisations and their shares. */
final class OrganisationsCommand implements Command {
    @Override
    public String name() {
        return "organisations";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "lists the organisations with their rates and bursts";
    }

    @Override
    public List<String> examples() {
        return List.of("crocushaven organisations");
    }

    @Override
    public void run(Invocation invocation) {
        invocation.arguments(0, 0);
        final List<Organisation> organisations =
                invocation
                        .client()
                        .get("organisations", new TypeReference<List<Organisation>>() {});
        final Table table = Table.of("ORGANISATION", "TOKENS/S", "BURST TOKENS", "WEIGHT");
        for (final Organisation organisation : organisations) {
            table.row(
                    organisation.name(),
                    organisation.tokensPerSecond(),
                    organisation.burstTokens(),
                    organisation.weight());
        }
        invocation.output().print(organisations, table);
    }
}
