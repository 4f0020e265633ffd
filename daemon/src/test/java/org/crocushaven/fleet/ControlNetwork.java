package org.crocushaven.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.MessageType;
import org.crocushaven.protocol.PeerTransport;

/** Connects control instances in one process and loses messages as a test demands. */
final class ControlNetwork {
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Set<String> isolated = ConcurrentHashMap.newKeySet();
    private final Set<Class<?>> lostTypes = ConcurrentHashMap.newKeySet();
    private final Set<String> joins = ConcurrentHashMap.newKeySet();

    PeerTransport endpoint(String name, Executor loop) {
        final Endpoint endpoint = new Endpoint(name, loop);
        endpoints.put(name, endpoint);
        return endpoint;
    }

    /** Delivers messages to an instance, from now on or no longer. */
    void setRunning(String name, boolean isRunning) {
        if (isRunning) {
            running.add(name);
        } else {
            running.remove(name);
        }
    }

    /** Loses all messages from and to an instance. */
    void isolate(String name) {
        isolated.add(name);
    }

    /** Ends the isolation of an instance. */
    void reconnect(String name) {
        isolated.remove(name);
    }

    /** Loses all messages of a type that have no answer. */
    void loseOneWay(Class<? extends Message> type) {
        lostTypes.add(type);
    }

    /** Returns whether an instance has announced itself to another. */
    boolean hasJoined(String name, String other) {
        return joins.contains(name + '>' + other);
    }

    /** Delivers the messages of all types again. */
    void loseNothing() {
        lostTypes.clear();
    }

    /** Forgets which instances have announced themselves. */
    void forgetJoins() {
        joins.clear();
    }

    /** Sends a request from outside of the group, such as a gateway's. */
    CompletableFuture<Message> ask(String instance, Message message) {
        return endpoints.get(instance).receive("outside", message);
    }

    private final class Endpoint implements PeerTransport {
        private final String name;
        private final Executor loop;
        private final Map<Class<?>, MessageHandler<Message>> handlers = new ConcurrentHashMap<>();

        private Endpoint(String name, Executor loop) {
            this.name = name;
            this.loop = loop;
        }

        @Override
        public void send(String instance, Message message) {
            if (reaches(instance) && !lostTypes.contains(message.getClass())) {
                endpoints.get(instance).receive(name, message);
            }
        }

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            return reaches(instance)
                    ? endpoints.get(instance).receive(name, message)
                    : CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
        }

        @Override
        @SuppressWarnings("unchecked")
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
            handlers.put(type, (MessageHandler<Message>) handler);
        }

        private boolean reaches(String instance) {
            return endpoints.containsKey(instance)
                    && !isolated.contains(name)
                    && !isolated.contains(instance);
        }

        private CompletableFuture<Message> receive(String sender, Message message) {
            if (message instanceof ControlJoin) {
                joins.add(sender + '>' + name);
            }
            final Message decoded =
                    MessageCodec.decode(MessageType.of(message), MessageCodec.encode(message));
            final CompletableFuture<Message> answered = new CompletableFuture<>();
            if (running.contains(name)) {
                loop.execute(() -> handle(sender, decoded, answered));
            }
            return answered;
        }

        private void handle(String sender, Message message, CompletableFuture<Message> answered) {
            final CompletableFuture<? extends Message> answer =
                    handlers.get(message.getClass()).handle(sender, message);
            if (answer != null) {
                answer.whenComplete(
                        (value, failure) -> {
                            if (failure == null) {
                                answered.complete(value);
                            } else {
                                answered.completeExceptionally(failure);
                            }
                        });
            }
        }
    }
}
