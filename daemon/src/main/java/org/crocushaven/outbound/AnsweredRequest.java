package org.crocushaven.outbound;

/** Says which request an answer names, compared with the one whose answer is awaited. */
public enum AnsweredRequest {
    /** The one whose answer is awaited. */
    OWN,
    /** Another one. */
    ANOTHER,
    /** None; only the answer's place on the connection says what it answers. */
    UNNAMED
}
