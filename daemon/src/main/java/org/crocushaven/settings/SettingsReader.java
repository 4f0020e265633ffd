package org.crocushaven.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.check.TomlNode;

/** Builds the settings from a document that has passed all checks. */
final class SettingsReader {
    private final TomlNode root;

    private SettingsReader(TomlNode root) {
        this.root = root;
    }

    static DaemonSettings read(TomlNode root) {
        return new SettingsReader(root).settings();
    }

    private DaemonSettings settings() {
        return new DaemonSettings(
                text(SettingsKeys.INSTANCE),
                text(SettingsKeys.FAILURE_DOMAIN),
                text(SettingsKeys.HOST),
                port(SettingsKeys.CALLER_PORT),
                port(SettingsKeys.OPERATOR_PORT),
                port(SettingsKeys.INNER_PORT),
                port(SettingsKeys.ANNOUNCEMENT_PORT),
                root.texts(SettingsKeys.SEEDS),
                find(SettingsKeys.DATA_FOLDER).flatMap(TomlNode::text).map(Path::of),
                root.texts(SettingsKeys.INITIAL_VOTERS),
                text(SettingsKeys.OPERATOR_KEY_HASH),
                limits(),
                loadBudget(),
                weights());
    }

    private CallerLimits limits() {
        return new CallerLimits(
                integer(SettingsKeys.MAXIMUM_CONNECTIONS, CallerLimits.DEFAULT_MAXIMUM_CONNECTIONS),
                integer(SettingsKeys.MAXIMUM_BODY_BYTES, CallerLimits.DEFAULT_MAXIMUM_BODY_BYTES),
                integer(
                        SettingsKeys.MAXIMUM_HEADER_BYTES,
                        CallerLimits.DEFAULT_MAXIMUM_HEADER_BYTES),
                millis(
                        SettingsKeys.RECEIVE_TIMEOUT_MILLIS,
                        CallerLimits.DEFAULT_RECEIVE_TIMEOUT_MILLIS),
                millis(
                        SettingsKeys.WRITE_TIMEOUT_MILLIS,
                        CallerLimits.DEFAULT_WRITE_TIMEOUT_MILLIS),
                millis(SettingsKeys.DEFAULT_DEADLINE_MILLIS, CallerLimits.DEFAULT_DEADLINE_MILLIS),
                millis(SettingsKeys.STOP_GRACE_MILLIS, CallerLimits.DEFAULT_STOP_GRACE_MILLIS));
    }

    private LoadBudgetSettings loadBudget() {
        return new LoadBudgetSettings(
                number(SettingsKeys.LOADS_PER_SECOND, LoadBudgetSettings.DEFAULT_LOADS_PER_SECOND),
                integer(SettingsKeys.FULL_SPEED_LOADS, LoadBudgetSettings.DEFAULT_FULL_SPEED_LOADS),
                integer(
                        SettingsKeys.MAXIMUM_IN_FLIGHT,
                        LoadBudgetSettings.DEFAULT_MAXIMUM_IN_FLIGHT));
    }

    private PolicyWeights weights() {
        final PolicyWeights equal = PolicyWeights.equal();
        return new PolicyWeights(
                number(SettingsKeys.LOAD_STALLS, equal.loadStalls()),
                number(SettingsKeys.WORST_ORGANISATION, equal.worstOrganisation()),
                number(SettingsKeys.WRONGFUL_REFUSALS, equal.wrongfulRefusals()),
                number(SettingsKeys.BATCH_EFFICIENCY, equal.batchEfficiency()));
    }

    private String text(String path) {
        return find(path).flatMap(TomlNode::text).orElseThrow();
    }

    private int port(String path) {
        return find(path).flatMap(TomlNode::integer).orElseThrow().intValue();
    }

    private int integer(String path, int defaultValue) {
        return find(path).flatMap(TomlNode::integer).map(Long::intValue).orElse(defaultValue);
    }

    private long millis(String path, long defaultValue) {
        return find(path).flatMap(TomlNode::integer).orElse(defaultValue);
    }

    private double number(String path, double defaultValue) {
        return find(path).flatMap(TomlNode::number).orElse(defaultValue);
    }

    private Optional<TomlNode> find(String path) {
        Optional<TomlNode> node = Optional.of(root);
        for (final String name : List.of(path.split("\\."))) {
            node = node.flatMap(parent -> parent.child(name));
        }
        return node;
    }
}
