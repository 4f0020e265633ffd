package org.crocushaven.residency;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AllowedRegionsTest {
    private static AllowedRegions of(List<String> ofRoute, List<String> ofOrganisation) {
        return AllowedRegions.of(ofRoute, ofOrganisation);
    }

    @Nested
    class Constraint {
        @Test
        void ofNeitherAllowsAll() {
            final AllowedRegions allowed = of(List.of(), List.of());

            assertFalse(allowed.isBound());
            assertTrue(allowed.allows("north"));
            assertTrue(allowed.allows(""));
        }

        @Test
        void ofOneBinds() {
            for (final AllowedRegions allowed :
                    List.of(of(List.of("north"), List.of()), of(List.of(), List.of("north")))) {
                assertTrue(allowed.allows("north"));
                assertFalse(allowed.allows("south"));
                assertFalse(allowed.allows(""));
            }
        }

        @Test
        void ofBothIsTheIntersection() {
            final AllowedRegions allowed = of(List.of("north", "east"), List.of("east", "south"));

            assertTrue(allowed.allows("east"));
            assertFalse(allowed.allows("north"));
            assertFalse(allowed.allows("south"));
        }

        @Test
        void withoutCommonRegionIsContradiction() {
            assertTrue(of(List.of("north"), List.of("south")).isContradiction());
            assertFalse(of(List.of("north"), List.of()).isContradiction());
            assertFalse(of(List.of(), List.of()).isContradiction());
        }
    }

    @Nested
    class Bodies {
        private final AllowedRegions allowed = of(List.of("north"), List.of());

        @Test
        void goToAllowedRegionsAndThatOfTheClient() {
            assertTrue(allowed.allowsBody("north", "south"));
            assertTrue(allowed.allowsBody("south", "south"));
            assertFalse(allowed.allowsBody("south", "north"));
        }

        @Test
        void goNowhereUnknown() {
            assertFalse(allowed.allowsBody("", ""));
            assertTrue(AllowedRegions.ALL.allowsBody("", ""));
        }
    }

    @Test
    void domainWithoutRegionIsNotAllowed() {
        final RegionMap regions = new RegionMap(Map.of("a", "north"));

        assertTrue(of(List.of("north"), List.of()).allows(regions.regionOf("a")));
        assertFalse(of(List.of("north"), List.of()).allows(regions.regionOf("b")));
    }
}
