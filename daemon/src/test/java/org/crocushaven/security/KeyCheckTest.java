package org.crocushaven.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyCheckTest {
    private static final KeyHash GRANTED = KeyHash.ofKey("granted");
    private static final KeyHash WITHDRAWN = KeyHash.ofKey("withdrawn");
    private static final Organisation FOREST = new Organisation("las", 100, 200, 1);

    private long nowNanos;
    private final FreshnessBound freshness = FreshnessBound.of(() -> nowNanos, 3_000);
    private final KeyCheck check = KeyCheck.of(freshness);

    private static FleetConfiguration configuration(boolean withdrawn) {
        return new FleetConfiguration(
                1,
                Map.of(),
                Map.of("las", FOREST),
                Map.of(),
                Map.of(
                        GRANTED, new KeyGrant(GRANTED, "las", "desk", withdrawn),
                        WITHDRAWN, new KeyGrant(WITHDRAWN, "las", "old", true)),
                Set.of());
    }

    private Optional<Organisation> check(Optional<KeyHash> key, boolean open) {
        return check.check(configuration(false), key, open);
    }

    private void assertRefused(ResultCode code, Optional<KeyHash> key, boolean open) {
        final ResultException refusal = assertThrows(ResultException.class, () -> check(key, open));
        assertEquals(code, refusal.code());
    }

    @Nested
    class WhileFresh {
        @Test
        void grantedKeyReturnsItsOrganisation() {
            freshness.confirmedAt(0);
            assertEquals(Optional.of(FOREST), check(Optional.of(GRANTED), false));
            assertEquals(Optional.of(FOREST), check(Optional.of(GRANTED), true));
            assertEquals(Optional.empty(), check(Optional.empty(), true));
        }

        @Test
        void anyOtherKeyIsRefused() {
            freshness.confirmedAt(0);
            assertRefused(ResultCode.KEY_MISSING, Optional.empty(), false);
            assertRefused(ResultCode.KEY_WITHDRAWN, Optional.of(WITHDRAWN), false);
            assertRefused(ResultCode.KEY_WITHDRAWN, Optional.of(WITHDRAWN), true);
            assertRefused(ResultCode.KEY_UNKNOWN, Optional.of(KeyHash.ofKey("x")), false);
        }

        @Test
        void adaptersAreRestrictedToTheirOrganisations() {
            final Adapter shared = new Adapter("a", "s", List.of("1"), "1", List.of());
            final Adapter reserved = new Adapter("b", "s", List.of("1"), "1", List.of("las"));
            check.checkPermitted(shared, Optional.empty());
            check.checkPermitted(reserved, Optional.of(FOREST));
            final Organisation other = new Organisation("inna", 1, 1, 1);
            for (final Optional<Organisation> asking :
                    List.of(Optional.of(other), Optional.<Organisation>empty())) {
                final ResultException refusal =
                        assertThrows(
                                ResultException.class,
                                () -> check.checkPermitted(reserved, asking));
                assertEquals(ResultCode.NOT_PERMITTED, refusal.code());
            }
        }
    }

    @Nested
    class WhileStale {
        @Test
        void keyedRoutesAreRefusedAndOpenOnesServed() {
            assertRefused(ResultCode.CONTROL_STATE_STALE, Optional.of(GRANTED), false);
            assertEquals(Optional.empty(), check(Optional.empty(), true));
            assertEquals(Optional.empty(), check(Optional.of(WITHDRAWN), true));
        }

        @Test
        void boundCountsFromLatestConfirmation() {
            freshness.confirmedAt(1_000);
            freshness.confirmedAt(500);
            nowNanos = 1_000 + TimeUnit.MILLISECONDS.toNanos(3_000) - 1;
            assertTrue(freshness.isFresh());
            nowNanos++;
            assertFalse(freshness.isFresh());
        }
    }

    @Nested
    class Withdrawal {
        private final ActiveRequests active = new ActiveRequests();
        private final List<ResultCode> cancelled = new ArrayList<>();

        @Test
        void cancelsRequestsOfKeyOnce() {
            active.add(GRANTED, reason -> cancelled.add(reason.code()));
            active.cancelUngranted(configuration(false));
            assertEquals(List.of(), cancelled);
            active.cancelUngranted(configuration(true));
            active.cancelUngranted(configuration(true));
            assertEquals(List.of(ResultCode.KEY_WITHDRAWN_DURING_REQUEST), cancelled);
            assertEquals(0, active.count());
        }

        @Test
        void doesNotCancelEndedRequests() {
            final ActiveRequests.Registration registration =
                    active.add(GRANTED, reason -> cancelled.add(reason.code()));
            registration.close();
            registration.close();
            active.cancelUngranted(configuration(true));
            assertEquals(List.of(), cancelled);
        }
    }
}
