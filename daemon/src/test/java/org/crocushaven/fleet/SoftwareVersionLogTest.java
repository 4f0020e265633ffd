package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Test;

class SoftwareVersionLogTest {
    private static final String SERVICE = "service";
    private static final long SPAN = 100;
    private static final StreamOrigin FIRST = new StreamOrigin(SERVICE, "v1");
    private static final StreamOrigin SECOND = new StreamOrigin(SERVICE, "v2");

    private final FleetState state = FleetState.create();
    private final Deque<Proposal> proposals = new ArrayDeque<>();

    private long term;

    private SoftwareVersionLog log(long nowNanos) {
        term++;
        state.termBegan(term);
        return SoftwareVersionLog.startingAt(state, term, this::propose, nowNanos);
    }

    private CompletableFuture<Void> propose(FleetCommand command) {
        final CompletableFuture<Void> done = new CompletableFuture<>();
        proposals.add(new Proposal(command, done));
        return done;
    }

    private void commitAll() {
        while (!proposals.isEmpty()) {
            final Proposal proposal = proposals.remove();
            state.apply(1, MessageCodec.encodeValue(proposal.command()));
            proposal.done().complete(null);
        }
    }

    private void configure() {
        state.apply(
                1, MessageCodec.encodeValue(FleetCommand.configuration(1, new byte[] {1, 2, 3})));
    }

    @Test
    void versionMayBeUsedOnlyOnceItIsCommitted() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 1);
        assertFalse(log.isCommitted(FIRST));
        assertEquals(Optional.empty(), log.only(SERVICE));

        commitAll();
        assertTrue(log.isCommitted(FIRST));
        assertEquals(Optional.of(FIRST), log.only(SERVICE));
    }

    @Test
    void versionThatEndedCountsForTheWholeSpan() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 200);
        log.observe(SECOND, 290);
        commitAll();
        log.tick(300, SPAN);
        commitAll();
        assertEquals(Optional.empty(), log.only(SERVICE));

        log.tick(301, SPAN);
        assertEquals(Optional.empty(), log.only(SERVICE), "not committed");
        commitAll();
        assertEquals(Optional.of(SECOND), log.only(SERVICE));
    }

    @Test
    void servicesAreApartAndUnknownOnesHaveNoVersion() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 200);
        log.observe(new StreamOrigin("other", "v2"), 200);
        commitAll();

        assertEquals(Optional.of(FIRST), log.only(SERVICE));
        assertEquals(Optional.empty(), log.only("unknown"));
    }

    @Test
    void versionThatReturnsWhileItsRemovalIsUnderWayIsNotUsedBeforeItIsCommittedAgain() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 0);
        commitAll();
        log.tick(SPAN + 1, SPAN);
        log.observe(FIRST, SPAN + 2);
        assertFalse(log.isCommitted(FIRST));

        final Proposal removal = proposals.remove();
        state.apply(1, MessageCodec.encodeValue(removal.command()));
        assertFalse(log.isCommitted(FIRST));
        removal.done().complete(null);
        assertFalse(log.isCommitted(FIRST));
        commitAll();
        assertTrue(log.isCommitted(FIRST));
    }

    @Test
    void stateOfSoftwareThatCommittedNoVersionsIsCompleteOnlyAfterTheSpan() {
        configure();
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 1);
        commitAll();
        log.tick(SPAN, SPAN);
        commitAll();
        assertEquals(Optional.empty(), log.only(SERVICE));

        log.observe(FIRST, SPAN + 1);
        log.tick(SPAN + 1, SPAN);
        commitAll();
        assertEquals(Optional.of(FIRST), log.only(SERVICE));
    }

    @Test
    void versionIsProposedAgainAfterItsProposalFailed() {
        final SoftwareVersionLog log = log(0);
        commitAll();
        log.observe(FIRST, 1);
        proposals
                .remove()
                .done()
                .completeExceptionally(ResultException.of(ResultCode.QUEUE_FULL, "group 0"));
        log.tick(2, SPAN);
        commitAll();

        assertTrue(log.isCommitted(FIRST));
    }

    @Test
    void snapshotKeepsVersionsAndWhetherTheyAreAll() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 1);
        commitAll();
        configure();
        final byte[] snapshot = state.snapshot();
        state.restore(5, FleetState.create().snapshot());
        assertEquals(Optional.empty(), log.only(SERVICE));

        state.restore(6, snapshot);
        assertEquals(Optional.of(FIRST), log.only(SERVICE));
    }

    @Test
    void leaderOfOlderSoftwareInBetweenMayHaveToldOfOtherVersions() {
        log(0).observe(FIRST, 1);
        commitAll();
        configure();
        assertEquals(Optional.of(FIRST), log(2).only(SERVICE));
        commitAll();
        term++;
        state.termBegan(term);

        final SoftwareVersionLog log = log(3);
        commitAll();
        assertEquals(Optional.empty(), log.only(SERVICE));
        log.observe(FIRST, 3 + SPAN + 1);
        log.tick(3 + SPAN + 1, SPAN);
        commitAll();
        assertEquals(Optional.of(FIRST), log.only(SERVICE));
    }

    @Test
    void snapshotTakenUnderLeaderOfOlderSoftwareDoesNotHideIt() {
        log(0).observe(FIRST, 1);
        commitAll();
        configure();
        term++;
        state.termBegan(term);
        state.restore(9, state.snapshot());

        final SoftwareVersionLog log = log(3);
        commitAll();
        assertEquals(Optional.empty(), log.only(SERVICE));
    }

    @Test
    void versionsDroppedBySnapshotOfOlderSoftwareComeBackWithTheNextCommand() {
        final SoftwareVersionLog log = log(0);
        log.observe(FIRST, 1);
        commitAll();
        log.observe(SECOND, 2);
        final FleetCommand command = proposals.element().command();
        commitAll();
        final FleetState upgraded = FleetState.create();
        upgraded.apply(1, MessageCodec.encodeValue(command));

        assertEquals(state.softwareVersions(), upgraded.softwareVersions());
    }

    private record Proposal(FleetCommand command, CompletableFuture<Void> done) {}
}
