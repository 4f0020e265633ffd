package org.crocushaven.consensus;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.crocushaven.protocol.PeerTransport;

/** Routes messages between replicas by their group, so that a daemon can host several groups. */
public final class GroupRouter {
    private final PeerTransport transport;
    private final Map<Integer, BiConsumer<String, GroupMessage>> receivers =
            new ConcurrentHashMap<>();

    private GroupRouter(PeerTransport transport) {
        this.transport = transport;
    }

    /**
     * Creates a router and registers its message handlers; must be called before the transport
     * starts.
     */
    public static GroupRouter create(PeerTransport transport) {
        final GroupRouter router = new GroupRouter(transport);
        router.handle(VoteRequest.class);
        router.handle(VoteResponse.class);
        router.handle(AppendRequest.class);
        router.handle(AppendResponse.class);
        router.handle(SnapshotChunk.class);
        router.handle(SnapshotResponse.class);
        return router;
    }

    /**
     * Delivers the messages of a group from now on; messages of unregistered groups are dropped.
     */
    void register(int groupId, BiConsumer<String, GroupMessage> receiver) {
        if (receivers.putIfAbsent(groupId, receiver) != null) {
            throw new IllegalStateException("group " + groupId + " is already registered");
        }
    }

    /** Drops the messages of a group from now on. */
    void unregister(int groupId) {
        receivers.remove(groupId);
    }

    void send(Envelope envelope) {
        transport.send(envelope.receiver(), envelope.message());
    }

    private <M extends GroupMessage> void handle(Class<M> type) {
        transport.registerHandler(
                type,
                (sender, message) -> {
                    deliver(sender, message);
                    return null;
                });
    }

    private void deliver(String sender, GroupMessage message) {
        final BiConsumer<String, GroupMessage> receiver = receivers.get(message.groupId());
        if (receiver != null) {
            receiver.accept(sender, message);
        }
    }
}
