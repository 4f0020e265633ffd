package org.crocushaven.fleet;

import java.util.Collection;
import java.util.stream.Collectors;

/**
 * Identifies what of a request may be guilty when backend servers end: a part of its prompt, or the
 * whole request. One 64-bit number identifies either; its sign bit tells the kind, so that no part
 * that a caller names can stand for a request.
 */
public final class Trait {
    private Trait() {}

    /** Returns the trait of a part of a prompt, of whose identifier 63 bits count. */
    public static long ofPart(long identifier) {
        return identifier & Long.MAX_VALUE;
    }

    /** Returns the trait of a whole request, from a digest of all that tells it from others. */
    public static long ofRequest(long digest) {
        return digest | Long.MIN_VALUE;
    }

    /** Returns whether a trait is that of a whole request. */
    public static boolean isRequest(long trait) {
        return trait < 0;
    }

    /** Returns traits for a log line: hexadecimal, with commas; "-" if there are none. */
    public static String list(Collection<Long> traits) {
        return traits.isEmpty()
                ? "-"
                : traits.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }
}
