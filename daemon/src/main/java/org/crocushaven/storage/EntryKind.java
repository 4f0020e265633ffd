package org.crocushaven.storage;

/** The kind of payload of a log entry. */
public enum EntryKind {
    /** A command for the state machine. */
    COMMAND,
    /** No payload; appended by a new leader at the start of its term. */
    NO_OP,
    /** The voters that are in force from this entry on. */
    CONFIGURATION;

    private static final EntryKind[] KINDS = values();

    /** Returns the kind with the given ordinal. */
    public static EntryKind fromOrdinal(int ordinal) {
        if (ordinal < 0 || ordinal >= KINDS.length) {
            throw new IllegalArgumentException("unknown ordinal of an entry kind: " + ordinal);
        }
        return KINDS[ordinal];
    }
}
