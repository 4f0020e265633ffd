package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answer to one request; called on the event loop. */
public interface BackendAnswerListener {
    /** Takes the head; returns false when it answers another request and must be passed over. */
    boolean head(HttpResponse head);

    /** Takes a part of the body; the buffer is only valid during the call. */
    void content(ByteBuf data);

    /** Called when all that has arrived so far was handed over. */
    void readComplete();

    /** Called when the answer is complete. */
    void complete();

    /**
     * Called when no complete answer will come.
     *
     * @param mayHaveRun whether the request may have reached the backend server
     */
    void failed(boolean mayHaveRun, String reason);
}
