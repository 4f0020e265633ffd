package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. Called on the event loop. */
public interface BackendAnswerListener {
    /**
     * Handles the head of an answer; returns false when it answers another request and must be
     * skipped.
     */
    boolean head(HttpResponse head);

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
