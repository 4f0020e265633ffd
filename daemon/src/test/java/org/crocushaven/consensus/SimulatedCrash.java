package org.crocushaven.consensus;

/** Thrown to end a simulated process during a disk operation. */
final class SimulatedCrash extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatedCrash() {
        super("simulated crash", null, false, false);
    }
}
