package org.crocushaven.protocol;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Maps each message type to its handler. Thread-safe. */
public final class HandlerRegistry {
    private final Map<Class<?>, MessageHandler<Message>> handlers = new ConcurrentHashMap<>();

    /**
     * Sets the handler for a message type.
     *
     * @throws IllegalStateException if the type already has a handler
     */
    @SuppressWarnings("unchecked")
    public <M extends Message> void register(Class<M> type, MessageHandler<M> handler) {
        if (handlers.putIfAbsent(type, (MessageHandler<Message>) handler) != null) {
            throw new IllegalStateException("a handler is already registered for " + type);
        }
    }

    /**
     * Passes a message to its handler and returns the answer, or null if the handler returns none.
     *
     * @throws ResultException if no handler is registered for the message
     */
    public CompletableFuture<? extends Message> dispatch(String sender, Message message) {
        final MessageHandler<Message> handler = handlers.get(message.getClass());
        if (handler == null) {
            throw ResultException.of(
                    ResultCode.MESSAGE_TYPE_UNKNOWN, message.getClass().getSimpleName());
        }
        return handler.handle(sender, message);
    }
}
