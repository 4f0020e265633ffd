package org.crocushaven.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.util.List;

/**
 * Represents the JSON body of the answer to {@code GET /v1/models}.
 *
 * @param object always {@code list}
 * @param data the models
 */
record ModelList(String object, List<Model> data) {
    private static final ObjectMapper JSON =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /** Returns a list of the given model names as JSON. */
    static String encode(List<String> names) {
        try {
            return JSON.writeValueAsString(
                    new ModelList("list", names.stream().map(Model::of).toList()));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private record Model(String id, String object, long created, String ownedBy) {
        static Model of(String name) {
            return new Model(name, "model", 0, "crocushaven");
        }
    }
}
