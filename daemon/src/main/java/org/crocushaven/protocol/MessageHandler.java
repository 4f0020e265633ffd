package org.crocushaven.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Handles one type of message.
 *
 * @param <M> the type of message
 */
@FunctionalInterface
public interface MessageHandler<M extends Message> {
    /**
     * Handles a message.
     *
     * @param sender name of the instance that sent the message
     * @param message the received message
     * @return the answer, or null if the message has none
     */
    CompletableFuture<? extends Message> handle(String sender, M message);
}
