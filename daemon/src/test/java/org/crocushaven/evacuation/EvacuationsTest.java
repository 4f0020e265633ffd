package org.crocushaven.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuationsTest {
    private static final String DOMAIN = "a";

    private final Evacuations evacuations = Evacuations.none();

    private EvacuationOrder orderNow(boolean begins) {
        return new EvacuationOrder(DOMAIN, begins, evacuations.find(DOMAIN).revision());
    }

    @Nested
    class Orders {
        @Test
        void beginAndFinish() {
            assertTrue(evacuations.apply(orderNow(true), 5));
            assertTrue(evacuations.find(DOMAIN).underWay());
            assertTrue(evacuations.apply(orderNow(false), 6));
            assertFalse(evacuations.find(DOMAIN).underWay());
        }

        @Test
        void thatHoldAlreadyChangeNothing() {
            evacuations.apply(orderNow(true), 5);

            assertTrue(evacuations.apply(new EvacuationOrder(DOMAIN, true, 0), 6));

            assertEquals(new Evacuation(DOMAIN, true, 5), evacuations.find(DOMAIN));
        }

        @Test
        void ofAnotherDomainAreIndependent() {
            evacuations.apply(orderNow(true), 5);

            assertFalse(evacuations.find("b").underWay());
        }
    }

    @Nested
    class LateCopies {
        @Test
        void ofBeginAreRefusedAfterTheFinish() {
            final EvacuationOrder copy = orderNow(true);
            evacuations.apply(orderNow(true), 5);
            evacuations.apply(orderNow(false), 6);

            assertFalse(evacuations.apply(copy, 7));

            assertFalse(evacuations.find(DOMAIN).underWay());
        }

        @Test
        void ofFinishAreRefusedAfterTheNextBegin() {
            evacuations.apply(orderNow(true), 5);
            final EvacuationOrder copy = orderNow(false);
            evacuations.apply(orderNow(false), 6);
            evacuations.apply(orderNow(true), 7);

            assertFalse(evacuations.apply(copy, 8));

            assertTrue(evacuations.find(DOMAIN).underWay());
        }

        /** Copies of all earlier orders arrive after each one, in any order. */
        @Property
        void neverChangeWhatTheLastOrderSaid(@ForAll List<Boolean> orders) {
            final Evacuations replayed = Evacuations.none();
            final List<EvacuationOrder> sent = new ArrayList<>();
            long index = 0;
            for (final boolean begins : orders) {
                final EvacuationOrder order =
                        new EvacuationOrder(DOMAIN, begins, replayed.find(DOMAIN).revision());
                replayed.apply(order, ++index);
                for (final EvacuationOrder earlier : sent) {
                    replayed.apply(earlier, ++index);
                }
                sent.add(order);
                assertEquals(begins, replayed.find(DOMAIN).underWay());
            }
        }
    }
}
