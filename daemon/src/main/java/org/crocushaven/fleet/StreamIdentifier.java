package org.crocushaven.fleet;

/**
 * Shortens the identifiers that clients assign to requests, so that many can be remembered.
 *
 * <p>Among a million identifiers two are the same with a probability of 3 in 100 million.
 */
public final class StreamIdentifier {
    /** Stands for a stream that the client does not name. */
    public static final long NONE = 0;

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;

    private StreamIdentifier() {}

    /** Returns the identifier of the stream that a request began; never {@link #NONE}. */
    public static long of(String requestId) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < requestId.length(); index++) {
            hash = (hash ^ requestId.charAt(index)) * PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * MIX_MULTIPLIER_1;
        hash = (hash ^ (hash >>> 33)) * MIX_MULTIPLIER_2;
        hash ^= hash >>> 33;
        return hash == NONE ? 1 : hash;
    }
}
