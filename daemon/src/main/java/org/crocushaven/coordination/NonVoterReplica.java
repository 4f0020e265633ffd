package org.crocushaven.coordination;

import java.time.Duration;
import org.crocushaven.consensus.StateMachine;
import org.crocushaven.protocol.PeerTransport;

/**
 * Keeps the configuration on an instance that is not a voter, by pulling committed commands from
 * the leader.
 *
 * <p>Lock rank 15 guards the state machine and the index. At most one pull is in flight.
 */
public final class NonVoterReplica implements ConfigurationReplica {
    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(2);

    private final StateMachine machine;
    private final PeerTransport transport;
    private long appliedIndex;
    private boolean pulling;

    private NonVoterReplica(StateMachine machine, PeerTransport transport) {
        this.machine = machine;
        this.transport = transport;
    }

    /** Returns a copy that has applied nothing yet. */
    public static NonVoterReplica create(StateMachine machine, PeerTransport transport) {
        return new NonVoterReplica(machine, transport);
    }

    @Override
    public synchronized long appliedIndex() {
        return appliedIndex;
    }

    @Override
    public void catchUp(String leader, long index, Runnable reached) {
        final long after;
        synchronized (this) {
            after = appliedIndex;
            if (after < index) {
                if (pulling) {
                    return;
                }
                pulling = true;
            }
        }
        if (after >= index) {
            reached.run();
            return;
        }
        transport
                .request(leader, new ConfigurationPull(after), PULL_TIMEOUT)
                .whenComplete(
                        (answer, failure) -> {
                            final boolean progressed =
                                    answer instanceof ConfigurationPage page && apply(page);
                            synchronized (this) {
                                pulling = false;
                            }
                            if (progressed) {
                                catchUp(leader, index, reached);
                            }
                        });
    }

    /**
     * Applies the commands of a page that are not applied yet; returns whether the applied index
     * advanced.
     */
    private synchronized boolean apply(ConfigurationPage page) {
        if (page.throughIndex() <= appliedIndex) {
            return false;
        }
        page.snapshot().ifPresent(snapshot -> machine.restore(page.throughIndex(), snapshot));
        for (final ConfigurationPage.IndexedCommand command : page.commands()) {
            if (command.index() > appliedIndex) {
                machine.apply(command.index(), command.command());
            }
        }
        appliedIndex = page.throughIndex();
        return true;
    }
}
