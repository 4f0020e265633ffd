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
 * Writes log lines to standard output from a thread of its own and never makes a caller wait.
 *
 * <p>At most {@value #CAPACITY} lines wait. The last quarter is kept for warnings and errors; what
 * finds no room is dropped and counted, and each second in which lines were dropped ends with a
 * line that says how many. Configured as {@code writer = bounded line}.
 */
public final class BoundedLineWriter extends AbstractFormatPatternWriter {
    static final int CAPACITY = 4_096;
    private static final int ORDINARY_CAPACITY = CAPACITY * 3 / 4;
    private static final int BATCH = 256;
    private static final long POLL_MILLIS = 100;
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_MILLIS = 1_000;

    private final OutputStream out;
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closing;
    private long reportedNanos;

    /** Creates a writer with tinylog's properties, of which {@code format} is used. */
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
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Adds a line that ends with a line feed, or drops it.
     *
     * @param important whether it may take the room kept for warnings and errors
     */
    void add(String line, boolean important) {
        final boolean hasRoom = important || waiting.size() < ORDINARY_CAPACITY;
        if (!hasRoom || !waiting.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        final List<String> batch = new ArrayList<>(BATCH);
        try {
            while (!closing || !waiting.isEmpty()) {
                final String first = waiting.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    waiting.drainTo(batch, BATCH - 1);
                    writeLines(batch);
                    batch.clear();
                }
                reportDropped();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException closed) {
            // Standard output is gone, so that nobody is left to be told.
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
        if (dropped.get() == 0 || nowNanos - reportedNanos < REPORT_NANOS) {
            return;
        }
        reportedNanos = nowNanos;
        final String line =
                EventLine.of("lines-dropped").with("count", dropped.getAndSet(0)).toString();
        writeLines(List.of("time=" + java.time.Instant.now() + " level=WARN " + line + "\n"));
    }
}
