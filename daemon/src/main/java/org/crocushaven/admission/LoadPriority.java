package org.crocushaven.admission;

/** Priority of a load, in descending order. */
public enum LoadPriority {
    /** An interactive request waits for the load. */
    INTERACTIVE,
    /** A batch request waits for the load. */
    BATCH,
    /** No request waits for the load yet. */
    PREFETCH
}
