package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. Called on the event loop. */
public interface BackendAnswerListener {
    /** Returns which request an answer names by its head. */
    AnsweredRequest answeredRequest(HttpResponse head);

    /** Returns whether a connection may go on after an answer that names no request. */
    default boolean allowsReuseUnnamed() {
        return false;
    }

    /** Handles the head of the answer to this request. */
    void head(HttpResponse head);

    /** Called for an answer that is not to this request, which is skipped. */
    default void answerSkipped(HttpResponse head) {}

    /** Handles a part of the body; the buffer is valid only during the call. */
    void content(ByteBuf data);

    /** Called when all data received so far has been handed over. */
    void readComplete();

    /** Called when the answer is complete. */
    void complete();

    /** Called before {@link #failed} when the reason is that the connection ended. */
    default void connectionEnded() {}

    /**
     * Called when no complete answer will come.
     *
     * @param mayHaveRun whether the request may have run, because it may have reached the backend
     *     server
     */
    void failed(boolean mayHaveRun, String reason);
}
