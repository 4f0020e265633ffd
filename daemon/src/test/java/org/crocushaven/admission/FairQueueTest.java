package org.crocushaven.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private int number;

    private QueueEntry<String> entry(String organisation, int weight, long tokens, int urgency) {
        number++;
        return new QueueEntry<>(
                "r" + number, organisation, weight, tokens, urgency, 1_000, number, "");
    }

    @Test
    void servesSecondOrganisationBeforeBacklogOfFirst() {
        final FairQueue<String> queue = FairQueue.create(100);
        for (int count = 0; count < 50; count++) {
            queue.offer(entry("large", 1, 10, 3));
        }
        queue.offer(entry("small", 1, 10, 3));
        queue.poll(any -> true);
        assertEquals("small", queue.poll(any -> true).orElseThrow().organisation());
    }

    @Test
    void dividesTokensByWeight() {
        final FairQueue<String> queue = FairQueue.create(1_000);
        for (int count = 0; count < 300; count++) {
            queue.offer(entry("heavy", 3, 10, 3));
            queue.offer(entry("light", 1, 10, 3));
        }
        int heavy = 0;
        for (int count = 0; count < 200; count++) {
            heavy += queue.poll(any -> true).orElseThrow().organisation().equals("heavy") ? 1 : 0;
        }
        assertTrue(Math.abs(heavy - 150) <= 2, "heavy got " + heavy);
    }

    @Test
    void servesMoreUrgentEntryOfOrganisationFirst() {
        final FairQueue<String> queue = FairQueue.create(10);
        queue.offer(entry("one", 1, 10, 7));
        final QueueEntry<String> urgent = entry("one", 1, 10, 0);
        queue.offer(urgent);
        assertEquals(urgent, queue.poll(any -> true).orElseThrow());
    }

    @Test
    void fullQueueDropsLastEntryOfLargestOrganisation() {
        final FairQueue<String> queue = FairQueue.create(3);
        queue.offer(entry("large", 1, 10, 3));
        queue.offer(entry("large", 1, 10, 3));
        final QueueEntry<String> last = entry("large", 1, 10, 3);
        queue.offer(last);
        assertEquals(List.of(last), queue.offer(entry("small", 1, 10, 3)));
        assertEquals(1, queue.size("small"));
    }

    @Test
    void expireRemovesEntriesPastTheirDeadline() {
        final FairQueue<String> queue = FairQueue.create(3);
        queue.offer(entry("one", 1, 10, 3));
        assertEquals(1, queue.expire(1_000).size());
        assertEquals(0, queue.size());
    }
}
