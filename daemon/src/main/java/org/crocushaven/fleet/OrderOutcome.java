package org.crocushaven.fleet;

/** The outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine is carrying it out. */
    ACCEPTED,
    /** The requested state is in place already. */
    HOLDS,
    /** Another order is in progress, or the engine has accepted orders that are not known here. */
    CONFLICT,
    /** A newer holder of the right to send orders is known. */
    FENCED,
    /** The engine does not know the order, or another backend server has the address. */
    REFUSED,
    /** No answer arrived: the order may have been accepted, or may be carried out later. */
    UNKNOWN
}
