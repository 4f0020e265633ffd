package org.crocushaven.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.crocushaven.coordination.ConfigurationReplica;

/** Access of this instance to the control state, as a voter or as a non-voter. */
interface ControlNode extends AutoCloseable {
    /** Returns this instance's replica of the configuration. */
    ConfigurationReplica configuration();

    /** Returns whether this instance is the leader of the given group. */
    boolean isLeader(int groupId);

    /** Returns the term of group 0; 0 when unknown. */
    long term();

    /** Returns the names of the voters of group 0, as far as known here. */
    List<String> voters();

    /**
     * Returns the names of the instances with a session; empty unless this instance is the leader.
     */
    List<String> sessions();

    /** Returns the leader of group 0 as known here. */
    Optional<String> leader();

    /** Starts the periodic tasks, if there are any, on the given executor. */
    void start(ScheduledExecutorService timers);

    @Override
    void close();
}
