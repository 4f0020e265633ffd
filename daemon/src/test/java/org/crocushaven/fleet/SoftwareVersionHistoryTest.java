package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class SoftwareVersionHistoryTest {
    private static final String SERVICE = "service";
    private static final long SPAN = 100;

    private final SoftwareVersionHistory history = SoftwareVersionHistory.startingAt(0);

    @Test
    void onlyVersionIsKnownOnceTheHistoryIsLongEnough() {
        history.observe(SERVICE, "v1", SPAN - 1);
        assertEquals(Optional.empty(), history.onlyVersion(SERVICE, SPAN - 1, SPAN));

        assertEquals(Optional.of("v1"), history.onlyVersion(SERVICE, SPAN, SPAN));
    }

    @Test
    void versionThatEndedCountsForTheWholeSpan() {
        history.observe(SERVICE, "v1", 200);
        history.observe(SERVICE, "v2", 290);

        assertEquals(Optional.empty(), history.onlyVersion(SERVICE, 300, SPAN));
        assertEquals(Optional.of("v2"), history.onlyVersion(SERVICE, 301, SPAN));
    }

    @Test
    void servicesAreApartAndUnknownOnesHaveNoVersion() {
        history.observe(SERVICE, "v1", 200);
        history.observe("other", "v2", 200);

        assertEquals(Optional.of("v1"), history.onlyVersion(SERVICE, 200, SPAN));
        assertEquals(Optional.empty(), history.onlyVersion("unknown", 200, SPAN));
    }
}
