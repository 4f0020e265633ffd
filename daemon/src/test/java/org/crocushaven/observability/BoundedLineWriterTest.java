package org.crocushaven.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class BoundedLineWriterTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final CountDownLatch reading = new CountDownLatch(1);

    /** Standard output that nobody reads until the latch is released. */
    private final OutputStream unread =
            new OutputStream() {
                @Override
                public void write(int single) {
                    written.write(single);
                }

                @Override
                public void write(byte[] bytes, int offset, int length) {
                    try {
                        reading.await();
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                    written.write(bytes, offset, length);
                }
            };

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void linesComeOutInOrder() {
        reading.countDown();
        final BoundedLineWriter writer = new BoundedLineWriter(Map.of(), unread);
        writer.add("one\n", false);
        writer.add("two\n", false);
        writer.close();

        assertEquals(List.of("one", "two"), lines());
    }

    @Test
    void outputThatNobodyReadsHoldsNobodyUp() {
        final BoundedLineWriter writer = new BoundedLineWriter(Map.of(), unread);
        for (int line = 0; line < 10 * BoundedLineWriter.CAPACITY; line++) {
            writer.add("ordinary\n", false);
        }
        writer.add("important\n", true);
        reading.countDown();
        writer.close();

        assertTrue(lines().size() <= BoundedLineWriter.CAPACITY + 300, "lines: " + lines().size());
        assertTrue(lines().contains("important"));
        assertTrue(lines().stream().anyMatch(line -> line.contains("event=lines-dropped count=")));
    }
}
