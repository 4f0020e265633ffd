package org.crocushaven.configuration;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * Configures mappers for configuration and changes. Names are in snake case; unknown and missing
 * properties, null values except for optional ones and conversions between scalar types are
 * refused.
 */
public final class ConfigurationMappers {
    private static final ObjectMapper JSON =
            configure(JsonMapper.builder())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private ConfigurationMappers() {}

    /** Returns the mapper for JSON. */
    public static ObjectMapper json() {
        return JSON;
    }

    /** Configures the builder of a mapper, for any format. */
    public static <M extends ObjectMapper, B extends MapperBuilder<M, B>> B configure(B builder) {
        return builder.addModule(new Jdk8Module())
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .enable(
                        DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
                        DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
                        DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
                        DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
    }
}
