package org.crocushaven.consensus;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.MessageType;
import org.crocushaven.protocol.PeerTransport;

/** Connects transports in one process; encodes and decodes each message as on a real network. */
final class MemoryNetwork {
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Set<String> isolated = ConcurrentHashMap.newKeySet();

    PeerTransport endpoint(String name) {
        final Endpoint endpoint = new Endpoint(name);
        endpoints.put(name, endpoint);
        return endpoint;
    }

    void isolate(String name) {
        isolated.add(name);
    }

    void reconnect(String name) {
        isolated.remove(name);
    }

    private final class Endpoint implements PeerTransport {
        private final String name;
        private final Map<Class<?>, MessageHandler<Message>> handlers = new ConcurrentHashMap<>();

        private Endpoint(String name) {
            this.name = name;
        }

        @Override
        public void send(String instance, Message message) {
            final Endpoint receiver = endpoints.get(instance);
            if (receiver == null || isolated.contains(name) || isolated.contains(instance)) {
                return;
            }
            final byte[] payload = MessageCodec.encode(message);
            final Message decoded = MessageCodec.decode(MessageType.of(message), payload);
            receiver.handlers.get(message.getClass()).handle(name, decoded);
        }

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            throw new UnsupportedOperationException(
                    "replicas only send messages without a response");
        }

        @Override
        @SuppressWarnings("unchecked")
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
            handlers.put(type, (MessageHandler<Message>) handler);
        }
    }
}
