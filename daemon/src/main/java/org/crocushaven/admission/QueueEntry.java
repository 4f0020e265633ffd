package org.crocushaven.admission;

/**
 * An entry of a {@link FairQueue}.
 *
 * @param identifier unique identifier within the queue
 * @param organisation the organisation to which it belongs
 * @param weight the organisation's weight, 1 or more
 * @param tokens number of tokens that it will use
 * @param urgency RFC 9218 urgency, 0 the most urgent
 * @param deadlineNanos time after which it expires
 * @param arrivalNanos arrival time
 * @param payload the queued object
 */
public record QueueEntry<T>(
        String identifier,
        String organisation,
        int weight,
        long tokens,
        int urgency,
        long deadlineNanos,
        long arrivalNanos,
        T payload) {
    public QueueEntry {
        if (weight < 1 || tokens < 0) {
            throw new IllegalArgumentException("weight must be at least 1 and tokens at least 0");
        }
    }
}
