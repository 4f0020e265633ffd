package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendState;
import org.junit.jupiter.api.Test;

class BackendChoiceTest {
    private static final int SLOTS = 10;

    private final BackendChoice choice = BackendChoice.of("here", new Random(1));

    private static BackendChoice.Candidate candidate(
            String backend, String domain, int requests, double failures, boolean promptKnown) {
        return new BackendChoice.Candidate(
                new BackendRecord(
                        backend,
                        "service",
                        "10.0.0.1",
                        1,
                        domain,
                        BackendState.READY,
                        false,
                        SLOTS,
                        List.of()),
                requests,
                failures,
                0,
                promptKnown);
    }

    private String chosen(BackendChoice.Candidate... candidates) {
        return choice.choose(List.of(candidates)).orElseThrow().backend().backend();
    }

    @Test
    void theOneWithTheLeastWorkIsChosen() {
        assertEquals(
                "idle",
                chosen(
                        candidate("busy", "here", 5, 0, false),
                        candidate("idle", "here", 1, 0, false)));
    }

    /** Prompts that are read at the same time make all streams of an engine pause. */
    @Test
    void theOneThatReadsNoPromptsIsChosenAmongEquals() {
        final BackendChoice.Candidate reading =
                new BackendChoice.Candidate(
                        candidate("reading", "here", 4, 0, false).backend(), 4, 0, 2_400, false);

        assertEquals("idle", chosen(reading, candidate("idle", "here", 5, 0, false)));
    }

    @Test
    void theOwnFailureDomainGoesFirstAmongEqualsOnly() {
        assertEquals(
                "near",
                chosen(
                        candidate("far", "there", 2, 0, false),
                        candidate("near", "here", 2, 0, false)));
        assertEquals(
                "far",
                chosen(
                        candidate("far", "there", 0, 0, false),
                        candidate("near", "here", 2, 0, false)));
    }

    @Test
    void oneThatFailedLatelyIsAvoidedWhileOthersHaveRoom() {
        assertEquals(
                "sound",
                chosen(
                        candidate("failing", "here", 0, 1, false),
                        candidate("sound", "there", 4, 0, false)));
    }

    @Test
    void oneThatHasReadThePromptMayBeBusier() {
        assertEquals(
                "reader",
                chosen(
                        candidate("reader", "here", 1, 0, true),
                        candidate("other", "here", 0, 0, false)));
    }

    @Test
    void nothingIsChosenFromNothing() {
        assertEquals(Optional.empty(), choice.choose(List.of()));
    }
}
