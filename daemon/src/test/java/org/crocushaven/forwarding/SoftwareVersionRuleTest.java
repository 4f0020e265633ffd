package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.crocushaven.fleet.BackendRecord;
import org.junit.jupiter.api.Test;

class SoftwareVersionRuleTest {
    private final SoftwareVersionRule rule = new SoftwareVersionRule();

    private static BackendRecord backend(String name, String softwareVersion) {
        return BackendRecordBuilder.of(name, "service").running(softwareVersion).build();
    }

    @Test
    void anyVersionServesUntilOneIsRequired() {
        assertTrue(rule.allows(backend("one", "v1")));
        assertTrue(rule.allows(backend("two", "")));
        assertEquals(Set.of("tried"), rule.excluded(Set.of("tried"), List.of(backend("one", ""))));
    }

    @Test
    void onlyTheFirstRequiredVersionServes() {
        rule.require("v1");
        rule.require("v2");

        assertTrue(rule.allows(backend("one", "v1")));
        assertFalse(rule.allows(backend("two", "v2")));
        assertFalse(rule.allows(backend("three", "")));
        assertEquals(
                Set.of("tried", "two"),
                rule.excluded(
                        Set.of("tried"), List.of(backend("one", "v1"), backend("two", "v2"))));
    }
}
