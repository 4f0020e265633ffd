package org.crocushaven.caller;

import io.netty.channel.ChannelConfig;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Holds what a caller has sent behind the current request, and stops reading when it is too much.
 *
 * <p>Used only on the connection's event loop.
 */
final class PendingInput {
    private static final int MAXIMUM_BYTES = 64 << 10;
    private static final int MAXIMUM_OBJECTS = 128;

    private final ChannelConfig configuration;
    private final ArrayDeque<HttpObject> objects = new ArrayDeque<>();
    private int bytes;

    PendingInput(ChannelConfig configuration) {
        this.configuration = configuration;
    }

    boolean isEmpty() {
        return objects.isEmpty();
    }

    /** Adds a message, which is retained. */
    void add(HttpObject message) {
        objects.add(ReferenceCountUtil.retain(message));
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        if (objects.size() >= MAXIMUM_OBJECTS || bytes >= MAXIMUM_BYTES) {
            configuration.setAutoRead(false);
        }
    }

    /** Removes and returns the oldest message, which the caller must release. */
    HttpObject remove() {
        final HttpObject message = objects.remove();
        if (message instanceof HttpContent content) {
            bytes -= content.content().readableBytes();
        }
        return message;
    }

    /** Continues reading if everything was removed. */
    void continueReadingIfEmpty() {
        if (objects.isEmpty()) {
            configuration.setAutoRead(true);
        }
    }

    /** Releases and drops all messages. */
    void clear() {
        objects.forEach(ReferenceCountUtil::release);
        objects.clear();
    }
}
