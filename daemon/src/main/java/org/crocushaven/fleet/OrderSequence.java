package org.crocushaven.fleet;

import java.util.OptionalLong;

/**
 * How many orders an engine has accepted, as far as its answers tell.
 *
 * <p>Answers orders that are left without an answer and may be carried out seconds later. Each
 * order names the count that it expects, so of all that were left unanswered at one count at most
 * one can have been carried out: the count is the same, or one more. So the next order need not
 * wait for a report; if it is refused, the other count is tried. Not thread-safe.
 */
final class OrderSequence {
    private OptionalLong count = OptionalLong.empty();
    private boolean mayBeOneMore;

    /** Returns the count that the next order should expect; empty before it is known. */
    OptionalLong expected() {
        return count;
    }

    /** Takes in the count of a report that was made after all that was answered. */
    void reported(long reported) {
        count = OptionalLong.of(reported);
        mayBeOneMore = false;
    }

    /** Returns whether a report may be from after all orders that were answered. */
    boolean isCurrent(long reported) {
        return count.isEmpty() || reported >= count.getAsLong();
    }

    /**
     * Notes that the engine counted an order; what was unanswered before cannot follow any more.
     */
    void counted() {
        count = OptionalLong.of(count.orElse(0) + 1);
        mayBeOneMore = false;
    }

    /** Notes that an order got no answer. */
    void unanswered() {
        mayBeOneMore = true;
    }

    /**
     * Notes that an order was refused for its count.
     *
     * @return whether to give it again with the count that is expected now; otherwise the count is
     *     not known any more
     */
    boolean refused() {
        if (!mayBeOneMore || count.isEmpty()) {
            forget();
            return false;
        }
        count = OptionalLong.of(count.getAsLong() + 1);
        mayBeOneMore = false;
        return true;
    }

    /** Forgets the count; a report must tell it. */
    void forget() {
        count = OptionalLong.empty();
        mayBeOneMore = false;
    }
}
