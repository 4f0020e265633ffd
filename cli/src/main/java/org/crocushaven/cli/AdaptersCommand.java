package org.crocushaven.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import joptsimple.OptionParser;
import org.crocushaven.status.AdapterPage;
import org.crocushaven.status.AdapterStatus;

/** Lists adapters and where their versions are loaded. */
final class AdaptersCommand implements Command {
    private static final String SERVICE = "service";
    private static final String PREFIX = "prefix";
    private static final String LIMIT = "limit";

    @Override
    public String name() {
        return "adapters";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "lists adapters and the backend servers on which they are loaded";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "crocushaven adapters --prefix opal-000",
                "crocushaven adapters --service model-dyzur --limit 3000 --output json");
    }

    @Override
    public void addOptions(OptionParser parser) {
        parser.accepts(SERVICE, "only adapters of this service")
                .withRequiredArg()
                .describedAs("name");
        parser.accepts(PREFIX, "only adapters whose names start with this text")
                .withRequiredArg()
                .describedAs("text");
        parser.accepts(LIMIT, "maximum number of adapters to show")
                .withRequiredArg()
                .describedAs("number")
                .defaultsTo("100");
    }

    @Override
    public void run(Invocation invocation) {
        invocation.arguments(0, 0);
        final AdapterPage page =
                invocation.client().get(path(invocation), new TypeReference<AdapterPage>() {});
        final Table table =
                Table.of("ADAPTER", "SERVICE", "VERSIONS", "DEFAULT", "ORGANISATIONS", "LOADED");
        for (final AdapterStatus adapter : page.adapters()) {
            table.row(
                    adapter.name(),
                    adapter.service(),
                    CellText.shortened(adapter.versions()),
                    adapter.defaultVersion(),
                    CellText.shortened(adapter.organisations()),
                    CellText.shortened(versionsWithBackends(adapter)));
        }
        invocation.output().print(page, table);
        invocation
                .console()
                .errors()
                .println(page.adapters().size() + " of " + page.total() + " adapters");
    }

    private static String path(Invocation invocation) {
        final StringBuilder path = new StringBuilder("adapters?limit=");
        path.append(encoded(invocation.option(LIMIT).orElseThrow()));
        path.append("&prefix=").append(encoded(invocation.option(PREFIX).orElse("")));
        invocation
                .option(SERVICE)
                .ifPresent(service -> path.append("&service=").append(encoded(service)));
        return path.toString();
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static List<String> versionsWithBackends(AdapterStatus adapter) {
        final Map<String, List<String>> byVersion = new TreeMap<>(adapter.loadedOn());
        return byVersion.entrySet().stream()
                .flatMap(
                        entry ->
                                entry.getValue().stream()
                                        .map(backend -> entry.getKey() + " on " + backend))
                .toList();
    }
}
