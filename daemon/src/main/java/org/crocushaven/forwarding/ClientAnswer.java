package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.crocushaven.result.ResultException;

/** Where the answer to one request of a client goes; called on the event loop. */
interface ClientAnswer {
    /** Answers that this system did not, or could not, serve the request. */
    void refuse(ResultException refusal);

    /** Passes a whole answer on; takes over the reference to the body. */
    void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Starts to pass a stream on. */
    void startStream(HttpResponseStatus status, HttpHeaders headers);

    /** Passes events on; takes over the reference to them. */
    void events(ByteBuf events);

    /** Ends a stream that is complete. */
    void endStream();

    /** Ends the answer in a way that cannot be taken for a complete one. */
    void breakOff();

    /** Returns whether the client reads as fast as events are written. */
    boolean isWritable();
}
