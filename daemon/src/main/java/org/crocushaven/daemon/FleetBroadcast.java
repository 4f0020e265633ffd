package org.crocushaven.daemon;

import org.crocushaven.membership.MembershipView;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;

/** Sends a message to every other instance that is expected to answer. */
final class FleetBroadcast {
    private final MembershipView membership;
    private final PeerTransport transport;

    FleetBroadcast(MembershipView membership, PeerTransport transport) {
        this.membership = membership;
        this.transport = transport;
    }

    void send(Message message) {
        final String self = membership.self().name();
        membership.instances().stream()
                .filter(record -> record.state().isReachable())
                .filter(record -> !record.name().equals(self))
                .forEach(record -> transport.send(record.name(), message));
    }
}
