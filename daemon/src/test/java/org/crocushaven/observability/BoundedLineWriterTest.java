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
    private final CountDownLatch outputReleased = new CountDownLatch(1);

    /** An output whose writes block until the latch is released. */
    private final OutputStream blockedOutput =
            new OutputStream() {
                @Override
                public void write(int single) {
                    written.write(single);
                }

                @Override
                public void write(byte[] bytes, int offset, int length) {
                    try {
                        outputReleased.await();
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
    void writesLinesInOrder() {
        outputReleased.countDown();
        final BoundedLineWriter writer = new BoundedLineWriter(Map.of(), blockedOutput);
        writer.add("one\n", false);
        writer.add("two\n", false);
        writer.close();

        assertEquals(List.of("one", "two"), lines());
    }

    @Test
    void dropsLinesWithoutBlockingWhenOutputIsBlocked() {
        final BoundedLineWriter writer = new BoundedLineWriter(Map.of(), blockedOutput);
        for (int line = 0; line < 10 * BoundedLineWriter.CAPACITY; line++) {
            writer.add("ordinary\n", false);
        }
        writer.add("important\n", true);
        outputReleased.countDown();
        writer.close();

        // Besides the queued lines, one batch of at most 256 and the reports of dropped lines are
        // written.
        assertTrue(lines().size() <= BoundedLineWriter.CAPACITY + 300, "lines: " + lines().size());
        assertTrue(lines().contains("important"));
        assertTrue(lines().stream().anyMatch(line -> line.contains("event=lines-dropped count=")));
    }
}
