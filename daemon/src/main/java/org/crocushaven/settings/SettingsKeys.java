package org.crocushaven.settings;

import static org.crocushaven.configuration.check.ValueType.ARRAY;
import static org.crocushaven.configuration.check.ValueType.INTEGER;
import static org.crocushaven.configuration.check.ValueType.NUMBER;
import static org.crocushaven.configuration.check.ValueType.STRING;
import static org.crocushaven.configuration.check.ValueType.TABLE;

import java.util.List;
import org.crocushaven.configuration.check.KeyDescription;

/** The keys of the settings file. */
final class SettingsKeys {
    static final String INSTANCE = "instance";
    static final String FAILURE_DOMAIN = "failure_domain";
    static final String HOST = "host";
    static final String SEEDS = "seeds";
    static final String SEED = "seeds[]";
    static final String DATA_FOLDER = "data_folder";
    static final String INITIAL_VOTERS = "initial_voters";
    static final String INITIAL_VOTER = "initial_voters[]";
    static final String OPERATOR_KEY_HASH = "operator_key_hash";

    static final String PORTS = "ports";
    static final String CALLER_PORT = "ports.caller";
    static final String OPERATOR_PORT = "ports.operator";
    static final String INNER_PORT = "ports.inner";
    static final String ANNOUNCEMENT_PORT = "ports.announcement";

    static final String LIMITS = "limits";
    static final String MAXIMUM_CONNECTIONS = "limits.maximum_connections";
    static final String MAXIMUM_BODY_BYTES = "limits.maximum_body_bytes";
    static final String MAXIMUM_HEADER_BYTES = "limits.maximum_header_bytes";
    static final String RECEIVE_TIMEOUT_MILLIS = "limits.receive_timeout_millis";
    static final String WRITE_TIMEOUT_MILLIS = "limits.write_timeout_millis";
    static final String DEFAULT_DEADLINE_MILLIS = "limits.default_deadline_millis";
    static final String STOP_GRACE_MILLIS = "limits.stop_grace_millis";

    static final String LOAD_BUDGET = "load_budget";
    static final String LOADS_PER_SECOND = "load_budget.loads_per_second";
    static final String FULL_SPEED_LOADS = "load_budget.full_speed_loads";
    static final String MAXIMUM_IN_FLIGHT = "load_budget.maximum_in_flight";

    static final String WEIGHTS = "weights";
    static final String LOAD_STALLS = "weights.load_stalls";
    static final String WORST_ORGANISATION = "weights.worst_organisation";
    static final String WRONGFUL_REFUSALS = "weights.wrongful_refusals";
    static final String BATCH_EFFICIENCY = "weights.batch_efficiency";

    static final List<String> PORT_KEYS =
            List.of(CALLER_PORT, OPERATOR_PORT, INNER_PORT, ANNOUNCEMENT_PORT);

    static final List<KeyDescription> ALL =
            List.of(
                    KeyDescription.required(INSTANCE, STRING),
                    KeyDescription.required(FAILURE_DOMAIN, STRING),
                    KeyDescription.required(HOST, STRING),
                    KeyDescription.required(SEEDS, ARRAY),
                    KeyDescription.optional(SEED, STRING),
                    KeyDescription.optional(DATA_FOLDER, STRING),
                    KeyDescription.required(INITIAL_VOTERS, ARRAY),
                    KeyDescription.optional(INITIAL_VOTER, STRING),
                    KeyDescription.required(OPERATOR_KEY_HASH, STRING),
                    KeyDescription.required(PORTS, TABLE),
                    KeyDescription.required(CALLER_PORT, INTEGER),
                    KeyDescription.required(OPERATOR_PORT, INTEGER),
                    KeyDescription.required(INNER_PORT, INTEGER),
                    KeyDescription.required(ANNOUNCEMENT_PORT, INTEGER),
                    KeyDescription.optional(LIMITS, TABLE),
                    KeyDescription.optional(MAXIMUM_CONNECTIONS, INTEGER),
                    KeyDescription.optional(MAXIMUM_BODY_BYTES, INTEGER),
                    KeyDescription.optional(MAXIMUM_HEADER_BYTES, INTEGER),
                    KeyDescription.optional(RECEIVE_TIMEOUT_MILLIS, INTEGER),
                    KeyDescription.optional(WRITE_TIMEOUT_MILLIS, INTEGER),
                    KeyDescription.optional(DEFAULT_DEADLINE_MILLIS, INTEGER),
                    KeyDescription.optional(STOP_GRACE_MILLIS, INTEGER),
                    KeyDescription.optional(LOAD_BUDGET, TABLE),
                    KeyDescription.optional(LOADS_PER_SECOND, NUMBER),
                    KeyDescription.optional(FULL_SPEED_LOADS, INTEGER),
                    KeyDescription.optional(MAXIMUM_IN_FLIGHT, INTEGER),
                    KeyDescription.optional(WEIGHTS, TABLE),
                    KeyDescription.optional(LOAD_STALLS, NUMBER),
                    KeyDescription.optional(WORST_ORGANISATION, NUMBER),
                    KeyDescription.optional(WRONGFUL_REFUSALS, NUMBER),
                    KeyDescription.optional(BATCH_EFFICIENCY, NUMBER));

    private SettingsKeys() {}
}
