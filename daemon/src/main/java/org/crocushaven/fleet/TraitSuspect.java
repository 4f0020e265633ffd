package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A trait of a request that backend servers were answering on when they ended, and on which no
 * answer is known to have gone on.
 *
 * @param trait identifier of the trait
 * @param crashes number of backend servers that ended; those of one moment count once, and those of
 *     a whole request at most twice until all gateways have told what they know of it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TraitSuspect(long trait, int crashes) {
    /** Crashes from which on tries of a whole request are held back. */
    static final int HELD_CRASHES = 3;

    /** Returns whether it is a request that is let through only one at a time. */
    public boolean isHeld() {
        return Trait.isRequest(trait) && crashes >= HELD_CRASHES;
    }
}
