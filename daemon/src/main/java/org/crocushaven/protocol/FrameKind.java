package org.crocushaven.protocol;

/** Specifies the kind of a frame; the ordinal is the number on the wire. */
enum FrameKind {
    /** A message that the receiver does not answer. */
    ONE_WAY,
    /** A request, answered by a frame with the same correlation number. */
    REQUEST,
    /** The answer to a request. */
    ANSWER
}
