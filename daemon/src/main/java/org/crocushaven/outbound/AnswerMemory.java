package org.crocushaven.outbound;

/**
 * Bounds the memory of all answers that are collected before they are passed on.
 *
 * <p>An answer may take as much as it leaves free, so that an answer without end is refused before
 * it takes the room of shorter ones. Used on one event loop only.
 */
public final class AnswerMemory {
    /** Maximum size, in bytes, of an answer that is collected as a whole. */
    public static final long MAXIMUM_ANSWER_BYTES = 32L << 20;

    /** Maximum size, in bytes, of all answers together. */
    public static final long MAXIMUM_BYTES = 2 * MAXIMUM_ANSWER_BYTES;

    private long heldBytes;
    private long highestBytes;

    AnswerMemory() {}

    /** Returns the size of all answers, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the highest size of all answers at any time, in bytes. */
    public long highestBytes() {
        return highestBytes;
    }

    /**
     * Returns the empty share of an answer.
     *
     * @param maximumBytes the maximum size of the answer
     */
    public Share share(long maximumBytes) {
        return new Share(maximumBytes);
    }

    /** The memory of one answer. */
    public final class Share {
        private final long maximumBytes;
        private long bytes;

        private Share(long maximumBytes) {
            this.maximumBytes = maximumBytes;
        }

        /** Changes the size, in bytes; returns false if there is no room for a greater one. */
        public boolean tryResize(long newBytes) {
            final long heldWithNew = heldBytes - bytes + newBytes;
            final boolean tooLarge =
                    newBytes > maximumBytes || newBytes > MAXIMUM_BYTES - heldWithNew;
            if (newBytes > bytes && tooLarge) {
                return false;
            }
            heldBytes = heldWithNew;
            highestBytes = Math.max(highestBytes, heldBytes);
            bytes = newBytes;
            return true;
        }

        /** Returns all memory. */
        public void release() {
            heldBytes -= bytes;
            bytes = 0;
        }
    }
}
