package org.crocushaven.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.crocushaven.coordination.ConfigurationReplica;

/** Gives access to the control state; implemented for voters and for non-voters. */
interface ControlNode extends AutoCloseable {
    /** Returns this instance's replica of the configuration. */
    ConfigurationReplica configuration();

    /** Returns whether this instance is the leader of the given group. */
    boolean isLeader(int groupId);

    /** Returns the term of the configuration group; 0 when unknown. */
    long term();

    /** Returns the names of the voters of the configuration group, as far as known here. */
    List<String> voters();

    /**
     * Returns the names of the instances with a session; empty unless this instance is the leader.
     */
    List<String> sessions();

    /** Returns the leader of the configuration group as known here. */
    Optional<String> leader();

    /** Starts the periodic tasks, if there are any, on the given executor. */
    void start(ScheduledExecutorService timers);

    @Override
    void close();
}
