package org.crocushaven.once;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Simulates instances that run calls through one claim table, with proposals that fail at random.
 */
final class ClaimScenario {
    private static final ClaimLimits LIMITS =
            new ClaimLimits(Long.MAX_VALUE / 2, 500, 1_000, 1_000, 1_000_000);
    private static final List<String> INSTANCES = List.of("a", "b", "c");
    private static final int KEYS = 6;

    private final SplittableRandom random;
    private final FaultCounts<ClaimFault> counts;
    private final ClaimOracle oracle;
    private final ClaimTable table = ClaimTable.create(LIMITS);
    private final List<Proposal> proposals = new ArrayList<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Call> allCalls = new ArrayList<>();
    private final Map<String, Long> sessions = new HashMap<>();
    private long nowMillis = 1_000;
    private long nextSequence = 1;
    private boolean faulty = true;

    ClaimScenario(SplittableRandom random, FaultCounts<ClaimFault> counts) {
        this.random = random;
        this.counts = counts;
        this.oracle = new ClaimOracle(counts);
        INSTANCES.forEach(instance -> sessions.put(instance, 1L));
    }

    void step() {
        nowMillis += random.nextInt(30);
        switch (random.nextInt(12)) {
            case 0 -> startCall();
            case 1, 2, 3 ->
                    calls.stream()
                            .skip(randomIndex(calls.size()))
                            .findFirst()
                            .ifPresent(this::advance);
            case 4 -> maybeCrash();
            case 5 -> maybeExpireLiveClaimer();
            case 6 -> retry();
            default -> commitOne();
        }
        oracle.verify();
    }

    /**
     * Runs all pending work to its end without faults, expires all claimers, and then claims each
     * call once more.
     */
    void settle() {
        faulty = false;
        for (int round = 0; round < 1_000 && isBusy(); round++) {
            commitOne();
            retry();
            List.copyOf(calls).forEach(this::advance);
        }
        oracle.require(!isBusy(), "calls never end");
        INSTANCES.forEach(
                instance ->
                        table.decide(
                                ClaimCommand.expireClaimer(instance, Long.MAX_VALUE, nowMillis)));
        for (int number = 0; number < KEYS; number++) {
            final ClaimKey key = key(number);
            final ClaimId attempt = new ClaimId("z", 1, number);
            final ClaimCommand claim =
                    ClaimCommand.claim(key, attempt, digestOf(key, false), nowMillis);
            oracle.settled(key, table.decide(claim));
        }
        oracle.verify();
    }

    private boolean isBusy() {
        return !proposals.isEmpty() || !delayed.isEmpty() || !calls.isEmpty();
    }

    private void startCall() {
        final String instance = INSTANCES.get(random.nextInt(INSTANCES.size()));
        final boolean otherContent = random.nextInt(12) == 0;
        final Call call =
                new Call(
                        key(random.nextInt(KEYS)),
                        new ClaimId(instance, sessions.get(instance), nextSequence++));
        calls.add(call);
        allCalls.add(call);
        call.claim(otherContent);
    }

    private void advance(Call call) {
        if (call.maySend && !call.sent) {
            call.sendOrRelease();
        } else if (call.claimed) {
            call.startSending();
        } else if (call.sent) {
            call.finish();
        }
    }

    private void maybeCrash() {
        if (random.nextInt(6) > 0) {
            return;
        }
        counts.count(ClaimFault.CLAIMER_CRASHED);
        final String instance = INSTANCES.get(random.nextInt(INSTANCES.size()));
        final long session = sessions.merge(instance, 1L, Long::sum) - 1;
        for (Call call : allCalls) {
            if (call.claimId.instance().equals(instance) && !call.crashed) {
                call.crash();
            }
        }
        proposals.forEach(
                proposal -> {
                    if (proposal.command.claimId().instance().equals(instance)) {
                        proposal.result = new CompletableFuture<>();
                    }
                });
        proposals.add(new Proposal(ClaimCommand.expireClaimer(instance, session, nowMillis), true));
    }

    private void maybeExpireLiveClaimer() {
        if (random.nextInt(8) == 0) {
            counts.count(ClaimFault.LIVE_CLAIMER_EXPIRED);
            final String instance = INSTANCES.get(random.nextInt(INSTANCES.size()));
            final long session = sessions.get(instance);
            proposals.add(
                    new Proposal(ClaimCommand.expireClaimer(instance, session, nowMillis), true));
        }
    }

    private void retry() {
        if (!delayed.isEmpty()) {
            delayed.remove(random.nextInt(delayed.size())).run();
        }
    }

    /**
     * Removes a random proposal from the queue and drops or commits it. The answer of a committed
     * one may be dropped, and its command may be queued again.
     */
    private void commitOne() {
        if (proposals.isEmpty()) {
            return;
        }
        final Proposal proposal = proposals.remove(random.nextInt(proposals.size()));
        final int outcome = faulty && !proposal.reliable ? random.nextInt(10) : 9;
        if (outcome == 0) {
            counts.count(ClaimFault.COMMAND_LOST);
            proposal.fail(ResultCode.NO_QUORUM);
            return;
        }
        if (outcome == 1) {
            counts.count(ClaimFault.COMMAND_DOUBLED_LATE);
            proposals.add(new Proposal(proposal.command, false));
        }
        final byte[] decision = table.apply(0, proposal.command.encode());
        if (outcome == 2) {
            counts.count(ClaimFault.ANSWER_LOST);
            proposal.fail(ResultCode.PROPOSAL_OUTCOME_UNKNOWN);
        } else {
            proposal.result.complete(ClaimDecision.decode(decision));
        }
    }

    private CompletableFuture<ClaimDecision> submit(ClaimCommand command) {
        final Proposal proposal = new Proposal(command, false);
        proposals.add(proposal);
        return proposal.result;
    }

    private int randomIndex(int size) {
        return size == 0 ? 0 : random.nextInt(size);
    }

    private static ClaimKey key(int number) {
        return new ClaimKey("drewno", "booking", "key-" + number);
    }

    private static byte[] digestOf(ClaimKey key, boolean otherContent) {
        return (key.idempotencyKey() + otherContent).getBytes(StandardCharsets.UTF_8);
    }

    private static final class Proposal {
        private final ClaimCommand command;
        private final boolean reliable;
        private CompletableFuture<ClaimDecision> result = new CompletableFuture<>();

        private Proposal(ClaimCommand command, boolean reliable) {
            this.command = command;
            this.reliable = reliable;
        }

        private void fail(ResultCode code) {
            result.completeExceptionally(ResultException.of(code, 0));
        }
    }

    /** Attempt to run a call on one instance. */
    private final class Call {
        private final ClaimKey key;
        private final ClaimId claimId;
        private final AtMostOnceExecution execution;
        private boolean claimed;
        private boolean starting;
        private boolean maySend;
        private boolean sent;
        private boolean requestedToSend;
        private boolean releaseConfirmed;
        private boolean crashed;

        private Call(ClaimKey key, ClaimId claimId) {
            this.key = key;
            this.claimId = claimId;
            this.execution =
                    AtMostOnceExecution.create(
                            ClaimScenario.this::submit,
                            key,
                            claimId,
                            () -> nowMillis,
                            task -> {
                                if (!crashed) {
                                    delayed.add(task);
                                }
                            });
        }

        private void claim(boolean otherContent) {
            execution
                    .claim(digestOf(key, otherContent))
                    .whenComplete((decision, failure) -> claimed(decision, failure));
        }

        private void claimed(ClaimDecision decision, Throwable failure) {
            if (failure != null) {
                calls.remove(this);
                return;
            }
            switch (decision.kind()) {
                case GRANTED -> {
                    claimed = true;
                    oracle.attempted(key);
                    return;
                }
                case FINISHED ->
                        oracle.replayed(
                                key,
                                new String(
                                        decision.storedAnswer().orElseThrow(),
                                        StandardCharsets.UTF_8));
                case OUTCOME_UNKNOWN -> oracle.unknown(key);
                case IN_FLIGHT -> counts.count(ClaimFault.ANSWERED_IN_FLIGHT);
                case CONTENT_DIFFERS -> counts.count(ClaimFault.ANSWERED_CONTENT_DIFFERS);
                default -> oracle.require(false, "unexpected " + decision.kind());
            }
            calls.remove(this);
        }

        private void startSending() {
            claimed = false;
            starting = true;
            requestedToSend = true;
            oracle.recordSendRequest(key);
            execution
                    .startSending()
                    .whenComplete(
                            (decision, failure) -> {
                                starting = false;
                                if (failure == null && decision.isGranted()) {
                                    maySend = true;
                                    return;
                                }
                                if (failure == null) {
                                    counts.count(ClaimFault.SEND_SUPERSEDED);
                                }
                                calls.remove(this);
                            });
        }

        private void sendOrRelease() {
            if (random.nextInt(3) == 0) {
                counts.count(ClaimFault.RELEASED_UNSENT);
                execution.release().thenRun(() -> releaseConfirmed = true);
                calls.remove(this);
            } else {
                sent = true;
                oracle.ran(key, claimId.toString());
            }
        }

        private void finish() {
            calls.remove(this);
            if (random.nextInt(4) == 0) {
                execution.abandon();
            } else {
                execution.complete(claimId.toString().getBytes(StandardCharsets.UTF_8));
            }
        }

        /**
         * Crashes the instance of the attempt. An unconfirmed release may then never be committed,
         * because nobody retries it.
         */
        private void crash() {
            final boolean running = calls.remove(this);
            crashed = true;
            if (running && claimed) {
                counts.count(ClaimFault.CRASHED_AFTER_CLAIM);
            }
            if (running && maySend) {
                counts.count(ClaimFault.CRASHED_WHILE_SENDING);
                oracle.recordLossWhileSending(key);
            } else if (requestedToSend && !sent && !releaseConfirmed) {
                oracle.recordLossAfterSendRequest(key);
            }
        }
    }
}
