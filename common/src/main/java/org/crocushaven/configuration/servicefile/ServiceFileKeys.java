package org.crocushaven.configuration.servicefile;

import static org.crocushaven.configuration.check.KeyDescription.optional;
import static org.crocushaven.configuration.check.KeyDescription.required;
import static org.crocushaven.configuration.check.ValueType.ARRAY;
import static org.crocushaven.configuration.check.ValueType.BOOLEAN;
import static org.crocushaven.configuration.check.ValueType.INTEGER;
import static org.crocushaven.configuration.check.ValueType.STRING;
import static org.crocushaven.configuration.check.ValueType.TABLE;

import java.util.List;
import org.crocushaven.configuration.check.KeyDescription;

/** Defines the keys of service files. */
final class ServiceFileKeys {
    static final String SERVICE = "service";
    static final String NAME = "name";
    static final String KIND = "kind";
    static final String BASE_MODEL = "base_model";
    static final String OPEN = "open";
    static final String RESIDENT_ADAPTERS = "resident_adapters";
    static final String ROUTES = "routes";
    static final String METHOD = "method";
    static final String PATH = "path";
    static final String IDEMPOTENT = "idempotent";
    static final String TIMEOUT_MILLIS = "timeout_millis";
    static final String TOKENS = "tokens";
    static final String ORGANISATIONS = "organisations";
    static final String TOKENS_PER_SECOND = "tokens_per_second";
    static final String BURST_TOKENS = "burst_tokens";
    static final String WEIGHT = "weight";
    static final String ADAPTERS = "adapters";
    static final String VERSIONS = "versions";
    static final String DEFAULT = "default";
    static final String ADAPTER_SERIES = "adapter_series";
    static final String PREFIX = "prefix";
    static final String COUNT = "count";

    static final String KIND_ENGINE = "engine";
    static final String KIND_PLAIN = "plain";

    static final List<KeyDescription> ALL =
            List.of(
                    optional("service", TABLE),
                    required("service.name", STRING),
                    required("service.kind", STRING),
                    optional("service.base_model", STRING),
                    optional("service.open", BOOLEAN),
                    optional("service.resident_adapters", ARRAY),
                    optional("service.resident_adapters[]", STRING),
                    optional("service.routes", ARRAY),
                    optional("service.routes[]", TABLE),
                    required("service.routes[].method", STRING),
                    required("service.routes[].path", STRING),
                    required("service.routes[].idempotent", BOOLEAN),
                    optional("service.routes[].open", BOOLEAN),
                    optional("service.routes[].timeout_millis", INTEGER),
                    optional("service.routes[].tokens", INTEGER),
                    optional("organisations", ARRAY),
                    optional("organisations[]", TABLE),
                    required("organisations[].name", STRING),
                    required("organisations[].tokens_per_second", INTEGER),
                    required("organisations[].burst_tokens", INTEGER),
                    optional("organisations[].weight", INTEGER),
                    optional("adapters", ARRAY),
                    optional("adapters[]", TABLE),
                    required("adapters[].name", STRING),
                    optional("adapters[].service", STRING),
                    required("adapters[].versions", ARRAY),
                    optional("adapters[].versions[]", STRING),
                    optional("adapters[].default", STRING),
                    optional("adapters[].organisations", ARRAY),
                    optional("adapters[].organisations[]", STRING),
                    optional("adapter_series", ARRAY),
                    optional("adapter_series[]", TABLE),
                    required("adapter_series[].prefix", STRING),
                    required("adapter_series[].count", INTEGER),
                    optional("adapter_series[].service", STRING),
                    required("adapter_series[].versions", ARRAY),
                    optional("adapter_series[].versions[]", STRING),
                    optional("adapter_series[].default", STRING),
                    optional("adapter_series[].organisations", ARRAY),
                    optional("adapter_series[].organisations[]", STRING));

    private ServiceFileKeys() {}
}
