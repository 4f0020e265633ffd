package org.crocushaven.fleet;

/** What became of an order to an engine. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,
    /** What it asks for holds already. */
    HOLDS,
    /** Another order is under way, or the engine has taken orders that are not known here. */
    CONFLICT,
    /** A later holder of the right to give orders has been seen. */
    FENCED,
    /** The engine does not know the order, or another backend server has the address. */
    REFUSED,
    /** No answer came: it may have been taken, or be carried out later. */
    UNKNOWN
}
