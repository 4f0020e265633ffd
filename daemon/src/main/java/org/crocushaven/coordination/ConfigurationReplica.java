package org.crocushaven.coordination;

/** The copy of the configuration on this instance. */
public interface ConfigurationReplica {
    /** Returns the log index up to which the configuration is applied on this instance. */
    long appliedIndex();

    /**
     * Applies the configuration up to a committed index.
     *
     * @param leader the instance that leads group 0
     * @param index the index to reach
     * @param reached runs once the index is applied; may never run if the leader stops answering
     */
    void catchUp(String leader, long index, Runnable reached);
}
