package org.crocushaven.fleet;

import java.util.OptionalLong;

/**
 * Tracks how many orders an engine has accepted.
 *
 * <p>Handles orders that get no answer and may be carried out seconds later. Each order carries the
 * count that it expects, so at most one of all unanswered orders with the same count can have been
 * carried out: the count is the same or one higher. The next order therefore need not wait for a
 * report; if it is refused, the higher count is tried. Not thread-safe.
 */
final class OrderSequence {
    private OptionalLong count = OptionalLong.empty();
    private boolean mayBeOneHigher;

    /** Returns the count that the next order should carry; empty if unknown. */
    OptionalLong expected() {
        return count;
    }

    /** Sets the count from a report that was made after the last answered order. */
    void reported(long reported) {
        count = OptionalLong.of(reported);
        mayBeOneHigher = false;
    }

    /** Returns whether a report may have been made after all answered orders. */
    boolean isCurrent(long reported) {
        return count.isEmpty() || reported >= count.getAsLong();
    }

    /**
     * Records that the engine counted an order; earlier unanswered orders can no longer be carried
     * out.
     */
    void counted() {
        count = OptionalLong.of(count.orElse(0) + 1);
        mayBeOneHigher = false;
    }

    /** Records that an order got no answer. */
    void unanswered() {
        mayBeOneHigher = true;
    }

    /**
     * Records that an order was refused because of its count.
     *
     * @return whether to send it again with the count that is expected now; otherwise the count is
     *     unknown
     */
    boolean refused() {
        if (!mayBeOneHigher || count.isEmpty()) {
            reset();
            return false;
        }
        count = OptionalLong.of(count.getAsLong() + 1);
        mayBeOneHigher = false;
        return true;
    }

    /** Marks the count as unknown until the next report. */
    void reset() {
        count = OptionalLong.empty();
        mayBeOneHigher = false;
    }
}
