package org.crocushaven.observability;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output from a dedicated thread, so that callers never block.
 *
 * <p>At most {@value #CAPACITY} lines are queued, and the last quarter of the queue is reserved for
 * warnings and errors. Lines that do not fit are dropped and counted; at most once a second, a line
 * reports how many were dropped. The writer is configured as {@code writer = bounded line}.
 */
public final class BoundedLineWriter extends AbstractFormatPatternWriter {
    static final int CAPACITY = 4_096;
    private static final int ORDINARY_CAPACITY = CAPACITY * 3 / 4;
    private static final int MAXIMUM_BATCH_LINES = 256;
    private static final long POLL_TIMEOUT_MILLIS = 100;
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final OutputStream out;
    private final BlockingQueue<String> pending = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closing;
    private long lastReportNanos;

    /** Creates a writer from tinylog's properties, of which only {@code format} is used. */
    public BoundedLineWriter(Map<String, String> properties) {
        this(properties, new FileOutputStream(FileDescriptor.out));
    }

    BoundedLineWriter(Map<String, String> properties, OutputStream out) {
        super(properties);
        this.out = out;
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void write(LogEntry entry) {
        add(render(entry), entry.getLevel().ordinal() >= Level.WARN.ordinal());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        closing = true;
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Queues a line, which must end with a line feed, or drops it when the part of the queue that
     * it may use is full.
     *
     * @param important whether the line may use the part reserved for warnings and errors
     */
    void add(String line, boolean important) {
        final boolean isAllowed = important || pending.size() < ORDINARY_CAPACITY;
        if (!isAllowed || !pending.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        final List<String> batch = new ArrayList<>(MAXIMUM_BATCH_LINES);
        try {
            while (!closing || !pending.isEmpty()) {
                final String first = pending.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    pending.drainTo(batch, MAXIMUM_BATCH_LINES - 1);
                    writeLines(batch);
                    batch.clear();
                }
                reportDropped();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException unwritable) {
            // Standard output cannot be written, so the failure cannot be reported anywhere.
            closing = true;
        }
    }

    private void writeLines(List<String> lines) throws IOException {
        final StringBuilder text = new StringBuilder();
        lines.forEach(text::append);
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void reportDropped() throws IOException {
        final long nowNanos = System.nanoTime();
        if (dropped.get() == 0 || nowNanos - lastReportNanos < REPORT_INTERVAL_NANOS) {
            return;
        }
        lastReportNanos = nowNanos;
        final String line =
                EventLine.of("lines-dropped").with("count", dropped.getAndSet(0)).toString();
        writeLines(List.of("time=" + java.time.Instant.now() + " level=WARN " + line + "\n"));
    }
}
