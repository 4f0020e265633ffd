package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    private static String event(int id) {
        return "id: " + id + "\ndata: token" + id + "\n\n";
    }

    private static String add(EventSplitter splitter, String text) {
        final ByteBuf complete = splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return complete == null ? "" : complete.toString(StandardCharsets.UTF_8);
    }

    /** Complete events are returned in order and exactly once, wherever the bytes are split. */
    @Property(tries = 300)
    void returnsAllEventsInOrderForAnyChunkSize(
            @ForAll @IntRange(min = 1, max = 12) int events,
            @ForAll @IntRange(min = 1, max = 40) int step) {
        final EventSplitter chunked = new EventSplitter();
        final StringBuilder all = new StringBuilder();
        for (int id = 1; id <= events; id++) {
            all.append(event(id));
        }
        final StringBuilder returned = new StringBuilder();
        for (int start = 0; start < all.length(); start += step) {
            returned.append(
                    add(chunked, all.substring(start, Math.min(all.length(), start + step))));
        }

        assertEquals(all.toString(), returned.toString());
        assertFalse(chunked.hasPartialEvent());
        assertEquals(events, chunked.eventCount());
    }

    @Nested
    class ResumedStream {
        @Test
        void discardsPartialEvent() {
            assertEquals(event(1), add(splitter, event(1) + "id: 2\nda"));
            splitter.discardPartialEvent();

            assertEquals("1", splitter.lastEventId().orElseThrow());
            assertEquals(event(2), add(splitter, event(2)));
        }

        @Test
        void dropsEventAlreadyForwarded() {
            add(splitter, event(1) + event(2));
            splitter.discardPartialEvent();

            assertEquals(event(3), add(splitter, event(2) + event(3)));
        }

        @Test
        void isBrokenByMissingEvent() {
            add(splitter, event(1));

            assertEquals("", add(splitter, event(3)));
            assertTrue(splitter.isBroken());
        }

        @Test
        void mayStartAfterLastEventOfClient() {
            splitter.resumeAfter("5");

            assertEquals(event(6), add(splitter, event(6)));
        }
    }

    @Nested
    class EventWithoutEnd {
        private static final String SHORT_LINES = "data: x\n".repeat(128);
        private static final long MAXIMUM_CPU_NANOS = 1_000_000_000;

        @Test
        void isSearchedOnce() {
            final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
            final long startNanos = threads.getCurrentThreadCpuTime();

            while (!splitter.isBroken()) {
                add(splitter, SHORT_LINES);
            }

            final long cpuNanos = threads.getCurrentThreadCpuTime() - startNanos;
            assertTrue(cpuNanos <= MAXIMUM_CPU_NANOS, "CPU time: " + cpuNanos + " ns");
        }
    }

    @Test
    void acceptsCarriageReturnLineFeed() {
        assertEquals("id: 1\r\ndata: x\r\n\r\n", add(splitter, "id: 1\r\ndata: x\r\n\r\n"));
    }

    @Nested
    class EventWithoutNumber {
        // Guards against: the marks of chunks were passed on as an event of a numbered stream.
        @Test
        void breaksNumberedStream() {
            assertEquals(event(1), add(splitter, event(1) + "7\n\n" + event(2)));

            assertTrue(splitter.isBroken());
        }

        @Test
        void breaksNumberedStreamAsEmptyLine() {
            assertEquals(event(1), add(splitter, event(1) + "\r\n" + event(2)));

            assertTrue(splitter.isBroken());
        }

        // Guards against: an identifier that is no number ended the check of the later ones.
        @Test
        void breaksNumberedStreamAsOtherIdentifier() {
            assertEquals(event(1), add(splitter, event(1) + "id: x\n\n"));

            assertTrue(splitter.isBroken());
        }

        @Test
        void breaksNumberedStreamBehindComment() {
            assertEquals(event(1), add(splitter, event(1) + ": c\ndata: stray\n\n"));

            assertTrue(splitter.isBroken());
        }

        @Test
        void isPassedOnAsComment() {
            final String all = event(1) + ": open\n\n" + event(2);

            assertEquals(all, add(splitter, all));
            assertFalse(splitter.isBroken());
        }

        @Test
        void isPassedOnInStreamWithoutNumbers() {
            final String all = "data: a\n\ndata: b\n\n";

            assertEquals(all, add(splitter, all));
            assertFalse(splitter.isBroken());
        }
    }
}
