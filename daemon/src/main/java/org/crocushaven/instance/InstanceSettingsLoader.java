package org.crocushaven.instance;

import static org.crocushaven.configuration.check.ValueType.ARRAY;
import static org.crocushaven.configuration.check.ValueType.BOOLEAN;
import static org.crocushaven.configuration.check.ValueType.INTEGER;
import static org.crocushaven.configuration.check.ValueType.NUMBER;
import static org.crocushaven.configuration.check.ValueType.STRING;
import static org.crocushaven.configuration.check.ValueType.TABLE;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.check.AddressCheck;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.CheckEngine;
import org.crocushaven.configuration.check.IpAddress;
import org.crocushaven.configuration.check.KeyDescription;
import org.crocushaven.configuration.check.OneOfCheck;
import org.crocushaven.configuration.check.PatternCheck;
import org.crocushaven.configuration.check.RangeCheck;
import org.crocushaven.configuration.check.RequiredKeyCheck;
import org.crocushaven.configuration.check.SettingsFile;
import org.crocushaven.configuration.check.TomlNode;
import org.crocushaven.configuration.check.UnknownKeyCheck;
import org.crocushaven.configuration.check.ValueTypeCheck;
import org.crocushaven.residency.RegionMap;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Loads the settings of an instance from a TOML file; the error for an invalid file lists all
 * violations that the checks found.
 */
public final class InstanceSettingsLoader {
    /** Name of the instance. */
    private static final String INSTANCE = "instance";

    /** Failure domain in which the instance runs. */
    private static final String FAILURE_DOMAIN = "failure_domain";

    /** Function of the instance: gateway or control. */
    private static final String ROLE = "role";

    /** IP number on which other instances reach this one. */
    private static final String HOST = "host";

    /** Port on which other instances reach this one. */
    private static final String INNER_PORT = "inner_port";

    /** Port for metrics; none when absent. */
    private static final String METRICS_PORT = "metrics_port";

    /** Instances that hold control state, as host:port. */
    private static final String SEEDS = "seeds";

    private static final String SEED = "seeds[]";

    /** Address on which a gateway listens for clients. */
    private static final String INGRESS = "ingress";

    /** Address on which a gateway reports whether it is ready. */
    private static final String READINESS = "readiness";

    /** Address for calls of operators and backend servers. */
    private static final String CONTROL = "control";

    /** Folder of the control state. */
    private static final String DATA_FOLDER = "data_folder";

    /** Whether the fleet starts for the first time; false when absent. */
    private static final String BOOTSTRAP = "bootstrap";

    /** Instances with control state that may be lost at once. */
    private static final String TOLERATED_INSTANCES = "tolerated_instances";

    private static final long DEFAULT_TOLERATED_INSTANCES = 1;

    /** Time between two heartbeats of a backend server. */
    private static final String HEARTBEAT_MILLIS = "heartbeat_millis";

    private static final long DEFAULT_HEARTBEAT_MILLIS = 1_000;

    /** Time within which a withdrawn key must stop working. */
    private static final String KEY_WITHDRAWAL_MILLIS = "key_withdrawal_millis";

    private static final long DEFAULT_KEY_WITHDRAWAL_MILLIS = 5_000;

    /**
     * Time after an election in which the new leader sends no orders, so that an engine does not
     * receive orders of two leaders.
     */
    private static final String ORDER_LEASE_MILLIS = "order_lease_millis";

    private static final long DEFAULT_ORDER_LEASE_MILLIS = 3_000;

    /** Whether engines refuse orders with an outdated fencing token; false when absent. */
    private static final String ENGINES_CHECK_FENCES = "engines_check_fences";

    /** Maximum duration of a stop. */
    private static final String STOP_GRACE_SECONDS = "stop_grace_seconds";

    private static final double DEFAULT_STOP_GRACE_SECONDS = 8;

    /** Retries allowed for each first send of a request. */
    private static final String RETRY_RATIO = "retry_ratio";

    private static final double DEFAULT_RETRY_RATIO = 0.1;

    /** Additional retries allowed to all gateways together in any time window. */
    private static final String RETRY_EXTRA = "retry_extra";

    private static final double DEFAULT_RETRY_EXTRA = 10;

    /** Tokens beyond an organisation's rate tolerated in any time window; 0 when absent. */
    private static final String RATE_SLACK = "rate_slack";

    private static final double MAXIMUM_RATE_SLACK = 1e12;

    /** Failure domains with their regions. */
    private static final String DOMAINS = "domains";

    private static final String DOMAIN = "domains[]";
    private static final String DOMAIN_NAME = "domains[].name";

    /** Region of a failure domain; not known when absent. */
    private static final String DOMAIN_REGION = "domains[].region";

    /** Upper bound of every duration, in the unit of its key: milliseconds or seconds. */
    private static final double MAXIMUM_DURATION = 3_600_000;

    private static final double MAXIMUM_RETRIES = 1e9;
    private static final double MAXIMUM_TOLERATED_INSTANCES = 3;

    private static final List<KeyDescription> KEYS =
            List.of(
                    KeyDescription.required(INSTANCE, STRING),
                    KeyDescription.required(FAILURE_DOMAIN, STRING),
                    KeyDescription.required(ROLE, STRING),
                    KeyDescription.required(HOST, STRING),
                    KeyDescription.required(INNER_PORT, INTEGER),
                    KeyDescription.optional(METRICS_PORT, INTEGER),
                    KeyDescription.required(SEEDS, ARRAY),
                    KeyDescription.optional(SEED, STRING),
                    KeyDescription.optional(INGRESS, STRING),
                    KeyDescription.optional(READINESS, STRING),
                    KeyDescription.optional(CONTROL, STRING),
                    KeyDescription.optional(DATA_FOLDER, STRING),
                    KeyDescription.optional(BOOTSTRAP, BOOLEAN),
                    KeyDescription.optional(TOLERATED_INSTANCES, INTEGER),
                    KeyDescription.optional(HEARTBEAT_MILLIS, INTEGER),
                    KeyDescription.optional(KEY_WITHDRAWAL_MILLIS, INTEGER),
                    KeyDescription.optional(ORDER_LEASE_MILLIS, INTEGER),
                    KeyDescription.optional(ENGINES_CHECK_FENCES, BOOLEAN),
                    KeyDescription.optional(STOP_GRACE_SECONDS, NUMBER),
                    KeyDescription.optional(RETRY_RATIO, NUMBER),
                    KeyDescription.optional(RETRY_EXTRA, NUMBER),
                    KeyDescription.optional(RATE_SLACK, NUMBER),
                    KeyDescription.optional(DOMAINS, ARRAY),
                    KeyDescription.optional(DOMAIN, TABLE),
                    KeyDescription.required(DOMAIN_NAME, STRING),
                    KeyDescription.optional(DOMAIN_REGION, STRING));

    private static final List<Check> CHECKS =
            List.of(
                    UnknownKeyCheck.of(KEYS),
                    ValueTypeCheck.of(KEYS),
                    RequiredKeyCheck.of(KEYS),
                    PatternCheck.name(FAILURE_DOMAIN),
                    OneOfCheck.of(ROLE, List.of("gateway", "control")),
                    AddressCheck.ofIpAddress(HOST),
                    RangeCheck.of(INNER_PORT, 1, IpAddress.MAXIMUM_PORT),
                    RangeCheck.of(METRICS_PORT, 1, IpAddress.MAXIMUM_PORT),
                    AddressCheck.ofSocketAddress(SEED),
                    AddressCheck.ofSocketAddress(INGRESS),
                    AddressCheck.ofSocketAddress(READINESS),
                    AddressCheck.ofSocketAddress(CONTROL),
                    RangeCheck.of(TOLERATED_INSTANCES, 0, MAXIMUM_TOLERATED_INSTANCES),
                    RangeCheck.of(HEARTBEAT_MILLIS, 1, MAXIMUM_DURATION),
                    RangeCheck.of(KEY_WITHDRAWAL_MILLIS, 1, MAXIMUM_DURATION),
                    RangeCheck.of(ORDER_LEASE_MILLIS, 0, MAXIMUM_DURATION),
                    RangeCheck.of(STOP_GRACE_SECONDS, 0, MAXIMUM_DURATION),
                    RangeCheck.of(RETRY_RATIO, 0, MAXIMUM_RETRIES),
                    RangeCheck.of(RETRY_EXTRA, 0, MAXIMUM_RETRIES),
                    RangeCheck.of(RATE_SLACK, 0, MAXIMUM_RATE_SLACK),
                    PatternCheck.name(DOMAIN_NAME),
                    PatternCheck.name(DOMAIN_REGION));

    private static final CheckEngine ENGINE = CheckEngine.of(CHECKS);

    private final TomlNode root;

    private InstanceSettingsLoader(TomlNode root) {
        this.root = root;
    }

    /**
     * Loads a file.
     *
     * @throws ResultException with {@code SETTINGS_UNREADABLE} when the file cannot be read, with
     *     {@code SETTINGS_INVALID} and the faults when its content is refused
     */
    public static InstanceSettings load(Path file) {
        return parse(file.toString(), SettingsFile.read(file));
    }

    /**
     * Reads settings from a text.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} and the faults that the checks found,
     *     one a line, or a missing key of the role if they found none
     */
    public static InstanceSettings parse(String file, String text) {
        final TomlNode root = SettingsFile.parse(ENGINE, file, text);
        final InstanceSettings settings = new InstanceSettingsLoader(root).settings();
        requireRoleKeys(settings);
        return settings;
    }

    private InstanceSettings settings() {
        return new InstanceSettings(
                text(INSTANCE).orElseThrow(),
                text(FAILURE_DOMAIN).orElseThrow(),
                InstanceSettings.Role.valueOf(text(ROLE).orElseThrow().toUpperCase(Locale.ROOT)),
                text(HOST).orElseThrow(),
                (int) integer(INNER_PORT, 0),
                (int) integer(METRICS_PORT, 0),
                root.texts(SEEDS),
                address(INGRESS),
                address(READINESS),
                address(CONTROL),
                text(DATA_FOLDER).map(Path::of),
                flag(BOOTSTRAP),
                (int) integer(TOLERATED_INSTANCES, DEFAULT_TOLERATED_INSTANCES),
                integer(HEARTBEAT_MILLIS, DEFAULT_HEARTBEAT_MILLIS),
                integer(KEY_WITHDRAWAL_MILLIS, DEFAULT_KEY_WITHDRAWAL_MILLIS),
                integer(ORDER_LEASE_MILLIS, DEFAULT_ORDER_LEASE_MILLIS),
                flag(ENGINES_CHECK_FENCES),
                (long)
                        (number(STOP_GRACE_SECONDS, DEFAULT_STOP_GRACE_SECONDS)
                                * TimeUnit.SECONDS.toMillis(1)),
                number(RETRY_RATIO, DEFAULT_RETRY_RATIO),
                number(RETRY_EXTRA, DEFAULT_RETRY_EXTRA),
                number(RATE_SLACK, 0),
                domains().stream().flatMap(domain -> textOf(domain, "name").stream()).toList(),
                regions());
    }

    private List<TomlNode> domains() {
        return root.child(DOMAINS).map(TomlNode::children).orElse(List.of());
    }

    private RegionMap regions() {
        final Map<String, String> regions = new HashMap<>();
        for (final TomlNode domain : domains()) {
            textOf(domain, "region")
                    .ifPresent(region -> regions.put(textOf(domain, "name").orElseThrow(), region));
        }
        return new RegionMap(regions);
    }

    private static Optional<String> textOf(TomlNode table, String key) {
        return table.child(key).flatMap(TomlNode::text);
    }

    private static void requireRoleKeys(InstanceSettings settings) {
        final boolean isGateway = settings.role() == InstanceSettings.Role.GATEWAY;
        final boolean complete =
                isGateway
                        ? settings.ingress().isPresent() && settings.readiness().isPresent()
                        : settings.control().isPresent() && settings.dataFolder().isPresent();
        if (!complete) {
            throw ResultException.of(
                    ResultCode.SETTINGS_INVALID,
                    isGateway
                            ? "the role gateway requires the keys ingress and readiness"
                            : "the role control requires the keys control and data_folder");
        }
    }

    private Optional<String> text(String key) {
        return root.child(key).flatMap(TomlNode::text);
    }

    private Optional<InetSocketAddress> address(String key) {
        return text(key)
                .map(
                        value -> {
                            final int colon = value.lastIndexOf(':');
                            return new InetSocketAddress(
                                    value.substring(0, colon),
                                    Integer.parseInt(value.substring(colon + 1)));
                        });
    }

    private boolean flag(String key) {
        return root.child(key).flatMap(TomlNode::flag).orElse(false);
    }

    private long integer(String key, long defaultValue) {
        return root.child(key).flatMap(TomlNode::integer).orElse(defaultValue);
    }

    private double number(String key, double defaultValue) {
        return root.child(key).flatMap(TomlNode::number).orElse(defaultValue);
    }
}
