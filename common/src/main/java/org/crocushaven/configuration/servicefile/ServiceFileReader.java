package org.crocushaven.configuration.servicefile;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.Route;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.check.TomlDocument;
import org.crocushaven.configuration.check.TomlNode;

/** Reads the contents of a service file from a document that has passed all checks. */
final class ServiceFileReader {
    /** Timeout of a call, in milliseconds, when the route sets none. */
    static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

    /** Number of tokens charged for a call when the route sets none. */
    static final long DEFAULT_TOKENS = 1;

    /** Weight of an organisation that sets none. */
    static final long DEFAULT_WEIGHT = 1;

    private final String file;
    private final TomlNode root;

    private ServiceFileReader(TomlDocument document) {
        file = document.file();
        root = document.root();
    }

    static ServiceFile read(TomlDocument document) {
        final ServiceFileReader reader = new ServiceFileReader(document);
        return new ServiceFile(reader.services(), reader.organisations(), reader.adapters());
    }

    private List<Located<Service>> services() {
        return root.child(ServiceFileKeys.SERVICE).stream()
                .map(node -> new Located<>(file, node, service(node)))
                .toList();
    }

    private static Service service(TomlNode node) {
        final boolean isEngine =
                text(node, ServiceFileKeys.KIND).equals(ServiceFileKeys.KIND_ENGINE);
        return new Service(
                text(node, ServiceFileKeys.NAME),
                isEngine ? Service.Kind.ENGINE : Service.Kind.PLAIN,
                find(node, ServiceFileKeys.BASE_MODEL).orElse(""),
                flag(node, ServiceFileKeys.OPEN),
                node.texts(ServiceFileKeys.RESIDENT_ADAPTERS).stream()
                        .map(AdapterVersion::parse)
                        .toList(),
                elements(node, ServiceFileKeys.ROUTES).stream()
                        .map(ServiceFileReader::route)
                        .toList());
    }

    private static Route route(TomlNode node) {
        return new Route(
                text(node, ServiceFileKeys.METHOD),
                text(node, ServiceFileKeys.PATH),
                flag(node, ServiceFileKeys.IDEMPOTENT),
                flag(node, ServiceFileKeys.OPEN),
                integer(node, ServiceFileKeys.TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS),
                integer(node, ServiceFileKeys.TOKENS, DEFAULT_TOKENS));
    }

    private List<Located<Organisation>> organisations() {
        return elements(root, ServiceFileKeys.ORGANISATIONS).stream()
                .map(node -> new Located<>(file, node, organisation(node)))
                .toList();
    }

    private static Organisation organisation(TomlNode node) {
        return new Organisation(
                text(node, ServiceFileKeys.NAME),
                integer(node, ServiceFileKeys.TOKENS_PER_SECOND, 0),
                integer(node, ServiceFileKeys.BURST_TOKENS, 0),
                (int) integer(node, ServiceFileKeys.WEIGHT, DEFAULT_WEIGHT));
    }

    private List<Located<Adapter>> adapters() {
        final List<Located<Adapter>> adapters = new ArrayList<>();
        for (final TomlNode node : elements(root, ServiceFileKeys.ADAPTERS)) {
            final String name = text(node, ServiceFileKeys.NAME);
            adapters.add(new Located<>(file, node, adapter(node, name)));
        }
        for (final TomlNode node : elements(root, ServiceFileKeys.ADAPTER_SERIES)) {
            final int count = (int) integer(node, ServiceFileKeys.COUNT, 0);
            for (final String name :
                    AdapterSeries.names(text(node, ServiceFileKeys.PREFIX), count)) {
                adapters.add(new Located<>(file, node, adapter(node, name)));
            }
        }
        return adapters;
    }

    private Adapter adapter(TomlNode node, String name) {
        final List<String> versions = node.texts(ServiceFileKeys.VERSIONS);
        final String service = find(node, ServiceFileKeys.SERVICE).orElseGet(this::serviceName);
        return new Adapter(
                name,
                service,
                versions,
                find(node, ServiceFileKeys.DEFAULT).orElse(versions.get(versions.size() - 1)),
                node.texts(ServiceFileKeys.ORGANISATIONS));
    }

    private String serviceName() {
        return text(root.child(ServiceFileKeys.SERVICE).orElseThrow(), ServiceFileKeys.NAME);
    }

    private static String text(TomlNode node, String key) {
        return find(node, key).orElseThrow();
    }

    private static Optional<String> find(TomlNode node, String key) {
        return node.child(key).flatMap(TomlNode::text);
    }

    private static boolean flag(TomlNode node, String key) {
        return node.child(key).flatMap(TomlNode::flag).orElse(false);
    }

    private static long integer(TomlNode node, String key, long defaultValue) {
        return node.child(key).flatMap(TomlNode::integer).orElse(defaultValue);
    }

    private static List<TomlNode> elements(TomlNode node, String key) {
        return node.child(key).map(TomlNode::children).orElse(List.of());
    }
}
