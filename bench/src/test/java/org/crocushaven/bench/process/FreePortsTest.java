package org.crocushaven.bench.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    private static final int FIRST_PORT = 29_000;

    @Nested
    class BesideAnotherSearch {
        /** Two runs that began at the same port were given the same ones, and one did not start. */
        @Test
        void portsThatWereFoundAndAreNotBoundYetAreNotFoundAgain() throws IOException {
            final List<Integer> first = FreePorts.findFrom(FIRST_PORT, 28);

            final List<Integer> second = FreePorts.findFrom(FIRST_PORT, 28);

            assertTrue(Collections.disjoint(first, second), first + " and " + second);
        }
    }

    @Nested
    class OneSearch {
        @Test
        void findsTheNumberOfDifferentPortsThatWasAskedFor() throws IOException {
            final Set<Integer> found = new HashSet<>(FreePorts.find(40));

            assertEquals(40, found.size());
        }
    }
}
