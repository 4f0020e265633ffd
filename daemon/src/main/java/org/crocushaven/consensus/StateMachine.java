package org.crocushaven.consensus;

/**
 * A deterministic state machine to which committed commands are applied in log order.
 *
 * <p>Calls are serialized.
 */
public interface StateMachine {
    /** Applies a committed command and returns the result for its proposer. */
    byte[] apply(long index, byte[] command);

    /** Returns the complete encoded state. */
    byte[] snapshot();

    /** Replaces the state by an encoded state that includes all commands up to the index. */
    void restore(long index, byte[] snapshot);

    /** Called in log order when a leader's term begins, before the commands of that term. */
    default void termBegan(long term) {
        // Most states don't depend on who leads.
    }
}
