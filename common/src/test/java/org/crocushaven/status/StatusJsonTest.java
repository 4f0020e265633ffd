package org.crocushaven.status;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Optional;
import org.crocushaven.configuration.ConfigurationMappers;
import org.junit.jupiter.api.Test;

class StatusJsonTest {
    @Test
    void unknownLeaderIsWrittenAsNullAndReadAsEmpty() throws JsonProcessingException {
        final FleetStatus status = new FleetStatus("a1", 7, Optional.empty(), 3, 9_000, List.of());

        final String json = ConfigurationMappers.json().writeValueAsString(status);

        assertTrue(json.contains("\"leader\":null"), json);
        assertEquals(status, ConfigurationMappers.json().readValue(json, FleetStatus.class));
    }
}
