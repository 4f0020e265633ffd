package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import org.crocushaven.status.BackendStatus;

/** Lists the backend servers. */
final class BackendsCommand implements Command {
    @Override
    public String name() {
        return "backends";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "lists the backend servers with their load and dispatchers";
    }

    @Override
    public List<String> examples() {
        return List.of("crocushaven backends");
    }

    @Override
    public void run(Invocation invocation) {
        invocation.arguments(0, 0);
        final List<BackendStatus> backends =
                invocation.client().get("backends", new TypeReference<List<BackendStatus>>() {});
        final Table table =
                Table.of(
                        "BACKEND SERVER",
                        "SERVICE",
                        "FAILURE DOMAIN",
                        "ADDRESS",
                        "STATE",
                        "RUNNING",
                        "WAITING",
                        "LOADED",
                        "DISPATCHER");
        for (final BackendStatus backend : backends) {
            table.row(
                    backend.name(),
                    backend.service(),
                    backend.failureDomain(),
                    backend.address(),
                    backend.state(),
                    backend.running(),
                    backend.waiting(),
                    backend.loaded().size() + "/" + backend.adapterSlots(),
                    backend.dispatcher().orElse(""));
        }
        invocation.output().print(backends, table);
    }
}
