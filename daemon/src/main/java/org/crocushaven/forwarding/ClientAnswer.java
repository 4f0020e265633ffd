package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.crocushaven.result.ResultException;

/** Writes the answer to one request of a client. Called on the event loop. */
interface ClientAnswer {
    /** Answers that the request was not served, with the reason. */
    void refuse(ResultException refusal);

    /** Forwards a complete answer; takes over the reference to the body. */
    void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Forwards the head of a stream. */
    void startStream(HttpResponseStatus status, HttpHeaders headers);

    /** Forwards events of a stream; takes over the reference to them. */
    void sendEvents(ByteBuf events);

    /** Ends a complete stream. */
    void endStream();

    /** Aborts the answer, so that the client cannot mistake it for a complete one. */
    void abort();

    /** Returns whether the client reads as fast as events are written. */
    boolean isWritable();
}
