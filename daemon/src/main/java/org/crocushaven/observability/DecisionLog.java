package org.crocushaven.observability;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.agrona.concurrent.EpochClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.tinylog.Logger;

/**
 * Writes each decision as a log line and keeps the latest decisions about requests, so that they
 * can be explained.
 *
 * <p>A single lock guards the kept decisions. It is held briefly, never while a line is written,
 * and no other lock is acquired while it is held.
 */
public final class DecisionLog {
    /** Default number of decisions kept. */
    public static final int DEFAULT_CAPACITY = 20_000;

    private final EpochClock clock;
    private final int capacity;
    private final Consumer<String> writer;
    private final ReentrantLock lock = new ReentrantLock();
    private final ArrayDeque<Decision> keptDecisions = new ArrayDeque<>();
    private final Map<String, ArrayDeque<TimedDecision>> byRequest = new HashMap<>();

    private DecisionLog(EpochClock clock, int capacity, Consumer<String> writer) {
        this.clock = clock;
        this.capacity = capacity;
        this.writer = writer;
    }

    /** Returns a log that keeps at most the given number of decisions. */
    public static DecisionLog of(EpochClock clock, int capacity) {
        return new DecisionLog(clock, capacity, line -> Logger.info((Object) line));
    }

    /** Returns a log that passes its lines to the given writer. */
    public static DecisionLog of(EpochClock clock, int capacity, Consumer<String> writer) {
        return new DecisionLog(clock, capacity, writer);
    }

    /** Writes the line of a decision and, when it is about a request, keeps the decision. */
    public void record(Decision decision) {
        writer.accept(decision.line());
        if (decision.requestId().isPresent()) {
            keep(decision, clock.time());
        }
    }

    /**
     * Returns the decisions about a request, oldest first.
     *
     * @throws ResultException with {@code UNKNOWN_REQUEST} when no decision about it is kept
     */
    public List<TimedDecision> explain(String requestId) {
        lock.lock();
        try {
            final ArrayDeque<TimedDecision> found = byRequest.get(requestId);
            if (found == null) {
                throw ResultException.of(ResultCode.UNKNOWN_REQUEST, requestId);
            }
            return new ArrayList<>(found);
        } finally {
            lock.unlock();
        }
    }

    private void keep(Decision decision, long epochMillis) {
        lock.lock();
        try {
            keptDecisions.addLast(decision);
            byRequest
                    .computeIfAbsent(decision.requestId().get(), unused -> new ArrayDeque<>(4))
                    .addLast(new TimedDecision(epochMillis, decision.line()));
            if (keptDecisions.size() > capacity) {
                removeOldest();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Removes the oldest decision; must be called with the lock held. */
    private void removeOldest() {
        final String requestId = keptDecisions.removeFirst().requestId().get();
        final ArrayDeque<TimedDecision> decisions = byRequest.get(requestId);
        decisions.removeFirst();
        if (decisions.isEmpty()) {
            byRequest.remove(requestId);
        }
    }

    /**
     * The log line of a decision and the time at which it was recorded.
     *
     * @param epochMillis wall-clock time, in milliseconds since the epoch
     * @param line the log line
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record TimedDecision(long epochMillis, String line) {}
}
