package org.crocushaven.admission;

/**
 * Tracks the minimum free space (headroom) of a bucket since each past charge.
 *
 * <p>A refund must leave the bucket as if the refunded tokens had never been taken. Had they stayed
 * in the bucket, it would have overflowed whenever its free space was smaller than the refund;
 * tokens lost that way are not refunded. Not thread-safe.
 */
final class HeadroomHistory {
    private static final int MAXIMUM_ENTRIES = 512;

    /** Increasing sequences from which on the headrooms at the same indices are the minimum. */
    private final long[] sequences = new long[MAXIMUM_ENTRIES];

    private final double[] headrooms = new double[MAXIMUM_ENTRIES];
    private int size;

    /**
     * Records the current free space of the bucket.
     *
     * @param sequence number of the latest charge, or the current time where times identify charges
     */
    void record(long sequence, double headroom) {
        while (size > 0 && headrooms[size - 1] >= headroom) {
            size--;
        }
        if (size == MAXIMUM_ENTRIES) {
            size--;
            headrooms[size] = Math.min(headrooms[size], headroom);
            return;
        }
        sequences[size] = sequence;
        headrooms[size] = headroom;
        size++;
    }

    /** Returns the minimum free space recorded since the given sequence. */
    double minimumSince(long sequence) {
        for (int position = 0; position < size; position++) {
            if (sequences[position] >= sequence) {
                return headrooms[position];
            }
        }
        return size == 0 ? 0 : headrooms[size - 1];
    }

    /** Reduces the headrooms since the given sequence by a refund. */
    void recordRefund(long sequence, double amount) {
        int kept = 0;
        final int count = size;
        for (int position = 0; position < count; position++) {
            final boolean affected = sequences[position] >= sequence;
            final double headroom =
                    affected ? Math.max(0, headrooms[position] - amount) : headrooms[position];
            final long keptSequence = sequences[position];
            while (kept > 0 && headrooms[kept - 1] >= headroom) {
                kept--;
            }
            sequences[kept] = keptSequence;
            headrooms[kept] = headroom;
            kept++;
        }
        size = kept;
    }
}
