package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.LimitGrant;
import org.crocushaven.fleet.LimitStatement;
import org.crocushaven.fleet.LimitUse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendLimitsTest {
    private static final String NAME = "limited";
    private static final BackendRecord FIRST_START = record(1);
    private static final BackendRecord NEXT_START = record(2);

    private final BackendLimits limits = new BackendLimits();

    private static BackendRecord record(long startedMillis) {
        return BackendRecordBuilder.of(NAME, "service").startedAt(startedMillis).build();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean name(double perSecond, long sentMillis, long nowMillis) {
        return limits.recordAnswer(
                FIRST_START, NamedLimit.of(perSecond), millis(sentMillis), millis(nowMillis));
    }

    private boolean nameNone(long sentMillis, long nowMillis) {
        return limits.recordAnswer(
                FIRST_START, NamedLimit.NONE, millis(sentMillis), millis(nowMillis));
    }

    private void tell(double perSecond, long ageMillis, int requests, long nowMillis) {
        limits.apply(
                List.of(
                        new LimitGrant(
                                new LimitStatement(NAME, 1, perSecond, ageMillis), requests)),
                millis(nowMillis));
    }

    private boolean allows(long nowMillis) {
        return limits.allows(FIRST_START, millis(nowMillis));
    }

    private boolean take(long nowMillis) {
        return limits.tryTake(FIRST_START, millis(nowMillis));
    }

    @Nested
    class Naming {
        @Test
        void holdsRequestsBackUntilTheLeaderGrantsSome() {
            assertTrue(name(2, 0, 10));
            assertFalse(allows(10));

            tell(2, 100, 1, 110);

            assertTrue(take(120));
            assertFalse(take(120));
        }

        @Test
        void isReportedOnceWhileItIsTheSame() {
            assertTrue(name(2, 0, 10));
            assertFalse(name(2, 5, 20));
            assertTrue(name(3, 15, 30));
        }

        @Test
        void ofSomethingUnreadableChangesNothing() {
            name(2, 0, 10);

            limits.recordAnswer(FIRST_START, NamedLimit.UNREADABLE, millis(20), millis(30));

            assertFalse(allows(30));
        }

        @Test
        void ofAnotherLimitLosesWhatWasGranted() {
            name(8, 0, 10);
            tell(8, 10, 4, 20);

            name(1, 15, 30);

            assertFalse(allows(30));
        }

        @Test
        void withoutTokensSaysWhenTheNextOnesCome() {
            name(0.5, 0, 10);

            assertEquals(millis(2_000), limits.waitNanos(FIRST_START, millis(20)));
        }
    }

    @Nested
    class TheEnd {
        @Test
        void comesWithAnswerToLaterRequestThatNamesNone() {
            name(2, 0, 10);

            assertTrue(nameNone(20, 30));

            assertTrue(allows(30));
        }

        @Test
        void doesNotComeWithAnswerToEarlierRequest() {
            name(2, 0, 10);

            assertFalse(nameNone(5, 30));

            assertFalse(allows(30));
        }

        @Test
        void comesWithTheNextStart() {
            name(2, 0, 10);

            assertTrue(limits.allows(NEXT_START, millis(20)));
            assertFalse(allows(20));
        }

        @Test
        void thatAnotherGatewayHeardOfIsToldByTheLeader() {
            name(2, 0, 10);

            tell(LimitStatement.NO_LIMIT, 5, 0, 100);

            assertTrue(allows(100));
        }

        @Test
        void thatIsOlderThanTheLimitIsNotBelievedFromTheLeader() {
            name(2, 0, 50);

            tell(LimitStatement.NO_LIMIT, 80, 0, 100);

            assertFalse(allows(100));
        }
    }

    @Nested
    class Grants {
        @Test
        void lapse() {
            name(2, 0, 10);
            tell(2, 10, 1, 20);

            assertFalse(take(20 + LimitGrant.VALID_MILLIS));
        }

        @Test
        void forAnotherLimitAreNotTaken() {
            name(1, 0, 50);

            tell(9, 90, 5, 100);

            assertFalse(allows(100));
        }
    }

    @Nested
    class Reports {
        @Test
        void nameTheLimitAndWhatIsWantedBeyondTheGrants() {
            name(2, 0, 10);
            tell(2, 10, 1, 20);
            limits.recordWanted(FIRST_START);
            limits.recordWanted(FIRST_START);

            assertEquals(
                    List.of(new LimitUse(new LimitStatement(NAME, 1, 2, 50), 1)),
                    limits.report(millis(60)));
            assertEquals(0, limits.report(millis(70)).get(0).wanted());
        }

        @Test
        void nameLimitThatEndedForSomeTime() {
            name(2, 0, 10);
            nameNone(20, 30);

            assertFalse(limits.report(millis(100)).get(0).statement().isLimit());
            assertEquals(List.of(), limits.report(millis(60_000)));
        }
    }
}
