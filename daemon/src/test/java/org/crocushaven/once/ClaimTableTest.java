package org.crocushaven.once;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.crocushaven.once.ClaimDecision.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimTableTest {
    private static final ClaimLimits LIMITS = new ClaimLimits(10_000, 1_000, 5, 8, 20);
    private static final ClaimKey KEY = new ClaimKey("drewno", "booking", "k");
    private static final ClaimId FIRST = new ClaimId("a", 1, 1);
    private static final ClaimId SECOND = new ClaimId("b", 1, 1);
    private static final byte[] DIGEST = {1};

    private final ClaimTable table = ClaimTable.create(LIMITS);

    @Property(tries = 300, seed = "20261203")
    void decidesEquallyAfterRestoreFromSnapshot(
            @ForAll("commands") List<ClaimCommand> commands,
            @ForAll @IntRange(max = 40) int snapshotPosition) {
        ClaimTable restored = ClaimTable.create(LIMITS);
        final ClaimTable uninterrupted = ClaimTable.create(LIMITS);
        for (int number = 0; number < commands.size(); number++) {
            if (number == snapshotPosition) {
                final byte[] snapshot = restored.snapshot();
                restored = ClaimTable.create(LIMITS);
                restored.restore(number, snapshot);
            }
            final byte[] command = commands.get(number).encode();
            assertArrayEquals(
                    uninterrupted.apply(number, command), restored.apply(number, command));
        }
        assertArrayEquals(uninterrupted.snapshot(), restored.snapshot());
    }

    @Provide
    Arbitrary<List<ClaimCommand>> commands() {
        final Arbitrary<ClaimKey> keys =
                Arbitraries.of("k", "l", "m").map(key -> new ClaimKey("drewno", "booking", key));
        final Arbitrary<ClaimId> attempts =
                Combinators.combine(
                                Arbitraries.of("a", "b"),
                                Arbitraries.longs().between(1, 2),
                                Arbitraries.longs().between(1, 2))
                        .as(ClaimId::new);
        final Arbitrary<byte[]> contents = Arbitraries.bytes().array(byte[].class).ofMaxSize(10);
        return Combinators.combine(
                        Arbitraries.of(ClaimCommand.Kind.class),
                        keys,
                        attempts,
                        Arbitraries.longs().between(1, 30_000),
                        Arbitraries.of(new byte[] {1}, new byte[] {2}),
                        contents)
                .as(ClaimCommand::new)
                .list()
                .ofMaxSize(40);
    }

    private Kind claim(ClaimId claimId, long nowMillis) {
        return table.decide(ClaimCommand.claim(KEY, claimId, DIGEST, nowMillis)).kind();
    }

    private Kind send(ClaimId claimId) {
        return table.decide(ClaimCommand.send(KEY, claimId, 1)).kind();
    }

    private Kind complete(ClaimId claimId, byte[] answer) {
        return table.decide(ClaimCommand.complete(KEY, claimId, answer, 1)).kind();
    }

    private void expire(ClaimId claimId) {
        table.decide(ClaimCommand.expireClaimer(claimId.instance(), claimId.session(), 1));
    }

    @Nested
    class Claiming {
        @Test
        void grantsSameAttemptAgainButNoOther() {
            assertEquals(Kind.GRANTED, claim(FIRST, 1));
            assertEquals(Kind.GRANTED, claim(FIRST, 2));
            assertEquals(Kind.IN_FLIGHT, claim(SECOND, 3));
        }

        @Test
        void refusesDifferentContent() {
            claim(FIRST, 1);
            final ClaimCommand other = ClaimCommand.claim(KEY, SECOND, new byte[] {2}, 2);

            assertEquals(Kind.CONTENT_DIFFERS, table.decide(other).kind());
        }

        @Test
        void refusesWhenFull() {
            for (int number = 0; number < LIMITS.maximumClaims(); number++) {
                final ClaimKey key = new ClaimKey("drewno", "booking", "n" + number);
                table.decide(ClaimCommand.claim(key, FIRST, DIGEST, 1));
            }

            assertEquals(Kind.TABLE_FULL, claim(FIRST, 2));
        }

        @Test
        void expiresAfterRetentionTime() {
            claim(FIRST, 1);
            send(FIRST);

            assertEquals(Kind.IN_FLIGHT, claim(SECOND, LIMITS.retentionMillis()));
            assertEquals(Kind.GRANTED, claim(SECOND, LIMITS.retentionMillis() + 1));
        }

        @Test
        void isNotExpiredBySingleWrongClock() {
            final ClaimTable defaultTable = ClaimTable.create(ClaimLimits.DEFAULT);
            defaultTable.decide(ClaimCommand.claim(KEY, FIRST, DIGEST, 1));
            defaultTable.decide(ClaimCommand.send(KEY, FIRST, TimeUnit.DAYS.toMillis(400)));

            assertEquals(
                    Kind.IN_FLIGHT,
                    defaultTable.decide(ClaimCommand.claim(KEY, SECOND, DIGEST, 2)).kind());
        }
    }

    @Nested
    class Finishing {
        @Test
        void returnsStoredAnswerToResend() {
            claim(FIRST, 1);
            send(FIRST);
            complete(FIRST, new byte[] {7});
            final ClaimDecision decision = table.decide(ClaimCommand.claim(KEY, SECOND, DIGEST, 2));

            assertEquals(Kind.FINISHED, decision.kind());
            assertArrayEquals(new byte[] {7}, decision.storedAnswer().orElseThrow());
        }

        @Test
        void storesNoAnswerAboveTheLimit() {
            claim(FIRST, 1);
            send(FIRST);
            complete(FIRST, new byte[LIMITS.maximumAnswerBytes() + 1]);
            final ClaimDecision decision = table.decide(ClaimCommand.claim(KEY, SECOND, DIGEST, 2));

            assertEquals(Kind.FINISHED, decision.kind());
            assertEquals(true, decision.storedAnswer().isEmpty());
        }

        @Test
        void acceptsAnswerOfAttemptWithExpiredClaimer() {
            claim(FIRST, 1);
            send(FIRST);
            expire(FIRST);

            assertEquals(Kind.OUTCOME_UNKNOWN, claim(SECOND, 2));
            assertEquals(Kind.GRANTED, complete(FIRST, new byte[] {7}));
            assertEquals(Kind.FINISHED, claim(SECOND, 3));
        }
    }

    @Nested
    class TakingOver {
        @Test
        void refusesSendAfterTakeover() {
            claim(FIRST, 1);
            expire(FIRST);

            assertEquals(Kind.GRANTED, claim(SECOND, 2));
            assertEquals(Kind.SUPERSEDED, send(FIRST));
            assertEquals(Kind.GRANTED, send(SECOND));
        }

        @Test
        void takesOverUnsentClaimAfterTakeoverTime() {
            claim(FIRST, 1);

            assertEquals(Kind.GRANTED, claim(SECOND, 1 + LIMITS.takeoverMillis()));
            assertEquals(Kind.SUPERSEDED, send(FIRST));
        }

        @Test
        void reportsUnknownOutcomeAfterSending() {
            claim(FIRST, 1);
            send(FIRST);
            expire(FIRST);

            assertEquals(Kind.OUTCOME_UNKNOWN, claim(SECOND, 1 + LIMITS.takeoverMillis()));
        }

        @Test
        void refusesClaimCommandCommittedAfterItsRelease() {
            table.decide(ClaimCommand.release(KEY, FIRST, 1));

            assertEquals(Kind.SUPERSEDED, claim(FIRST, 2));
            assertEquals(Kind.GRANTED, claim(SECOND, 3));
        }

        @Test
        void keepsClaimOfLaterSession() {
            claim(FIRST, 1);
            table.decide(ClaimCommand.expireClaimer("a", 0, 2));

            assertEquals(Kind.GRANTED, send(FIRST));
        }
    }
}
