package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import java.util.Locale;
import org.crocushaven.configuration.Service;

/** Lists the published services. */
final class ServicesCommand implements Command {
    @Override
    public String name() {
        return "services";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "lists the published services";
    }

    @Override
    public List<String> examples() {
        return List.of("crocushaven services", "crocushaven services --output json");
    }

    @Override
    public void run(Invocation invocation) {
        invocation.arguments(0, 0);
        final List<Service> services =
                invocation.client().get("services", new TypeReference<List<Service>>() {});
        final Table table =
                Table.of("SERVICE", "KIND", "BASE MODEL", "OPEN", "RESIDENT ADAPTERS", "ROUTES");
        for (final Service service : services) {
            table.row(
                    service.name(),
                    service.kind().name().toLowerCase(Locale.ROOT),
                    service.baseModel(),
                    CellText.yesOrEmpty(service.open()),
                    CellText.shortened(
                            service.residentAdapters().stream().map(String::valueOf).toList()),
                    service.routes().size());
        }
        invocation.output().print(services, table);
    }
}
