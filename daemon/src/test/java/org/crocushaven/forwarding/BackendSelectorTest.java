package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BackendSelectorTest {
    private static final int SLOTS = 10;

    private final BackendSelector selector = BackendSelector.of("here", new Random(1));

    private static BackendSelector.Candidate candidate(
            String backend, String domain, int requests, double failures, boolean promptRead) {
        return new BackendSelector.Candidate(
                BackendRecordBuilder.of(backend, "service")
                        .inDomain(domain)
                        .withSlots(SLOTS)
                        .build(),
                requests,
                failures,
                0,
                promptRead);
    }

    private String selected(BackendSelector.Candidate... candidates) {
        return selector.select(List.of(candidates)).orElseThrow().backend().backend();
    }

    @Test
    void selectsBackendWithFewestRequests() {
        assertEquals(
                "idle",
                selected(
                        candidate("busy", "here", 5, 0, false),
                        candidate("idle", "here", 1, 0, false)));
    }

    /** Prompts that are read at the same time make all streams of an engine pause. */
    @Test
    void prefersBackendWithoutUnreadPrompts() {
        final BackendSelector.Candidate reading =
                new BackendSelector.Candidate(
                        candidate("reading", "here", 4, 0, false).backend(), 4, 0, 2_400, false);

        assertEquals("idle", selected(reading, candidate("idle", "here", 5, 0, false)));
    }

    @Test
    void prefersOwnFailureDomainOnlyAtEqualLoad() {
        assertEquals(
                "near",
                selected(
                        candidate("far", "there", 2, 0, false),
                        candidate("near", "here", 2, 0, false)));
        assertEquals(
                "far",
                selected(
                        candidate("far", "there", 0, 0, false),
                        candidate("near", "here", 2, 0, false)));
    }

    @Test
    void avoidsRecentlyFailedBackendWhileOthersHaveFreeSlots() {
        assertEquals(
                "healthy",
                selected(
                        candidate("failing", "here", 0, 1, false),
                        candidate("healthy", "there", 4, 0, false)));
    }

    @Test
    void prefersSlightlyBusierBackendThatHasReadThePrompt() {
        assertEquals(
                "reader",
                selected(
                        candidate("reader", "here", 1, 0, true),
                        candidate("other", "here", 0, 0, false)));
    }

    @Test
    void returnsEmptyWithoutCandidates() {
        assertEquals(Optional.empty(), selector.select(List.of()));
    }
}
