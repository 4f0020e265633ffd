package org.crocushaven.outbound;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what a connection remembers of the requests that it has carried. */
class CarriedRequestsTest {
    private static final int MANY = 10_000;

    private final CarriedRequests carried = new CarriedRequests(0);

    @Nested
    class Remembering {
        // Guards against: a request was forgotten after 64 others and sent once more there.
        @Test
        void lastsBeyondManyOthers() {
            carried.add("first", 0);
            for (int number = 0; number < MANY; number++) {
                carried.add("request-" + number, number);
            }

            assertTrue(carried.contains("first"));
        }

        @Test
        void lastsForItsMinimumThroughEachExchangeOfTheMemories() {
            final long before = CarriedRequests.MINIMUM_NANOS - 1;
            carried.add("early", before);
            carried.add("other", CarriedRequests.MINIMUM_NANOS);
            carried.add("another", before + CarriedRequests.MINIMUM_NANOS);

            assertTrue(carried.contains("early"));
        }
    }

    @Nested
    class Forgetting {
        @Test
        void happensAfterTwiceTheMinimum() {
            carried.add("early", 0);
            carried.add("other", CarriedRequests.MINIMUM_NANOS);
            carried.add("another", 2 * CarriedRequests.MINIMUM_NANOS);

            assertFalse(carried.contains("early"));
        }
    }

    @Nested
    class RequestsWithoutName {
        @Test
        void areNotRemembered() {
            carried.add("", 0);

            assertFalse(carried.contains(""));
        }
    }
}
