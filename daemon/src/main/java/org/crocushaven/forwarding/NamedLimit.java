package org.crocushaven.forwarding;

import java.util.OptionalDouble;

/**
 * What an answer says of the requests that its backend server takes.
 *
 * @param readable whether it says anything that can be read; an answer that names no limit does
 * @param perSecond requests a second that the backend server takes of all instances together; empty
 *     for no limit
 */
public record NamedLimit(boolean readable, OptionalDouble perSecond) {
    /** The answer names no limit. */
    public static final NamedLimit NONE = new NamedLimit(true, OptionalDouble.empty());

    /** The answer names something that is no limit, and so says nothing. */
    public static final NamedLimit UNREADABLE = new NamedLimit(false, OptionalDouble.empty());

    /** Returns a limit in requests a second. */
    public static NamedLimit of(double perSecond) {
        return new NamedLimit(true, OptionalDouble.of(perSecond));
    }
}
