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
     * @param reached runs if the index is already applied or this call applies it; does not run if
     *     the leader stops answering, while another pull is in flight, or on a voter that has not
     *     applied the index yet
     */
    void catchUp(String leader, long index, Runnable reached);
}
