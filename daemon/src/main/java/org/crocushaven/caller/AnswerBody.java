package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Knows how the body of an answer is framed and how much of it is missing.
 *
 * <p>Not thread-safe.
 */
final class AnswerBody {
    private static final long UNKNOWN_LENGTH = -1;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String EVENT_STREAM = "text/event-stream";

    private final boolean absent;
    private final boolean eventStream;
    private long remainingBytes;
    private byte lastByte = '\n';
    private byte byteBeforeLast = '\n';

    private AnswerBody(boolean absent, boolean eventStream, long remainingBytes) {
        this.absent = absent;
        this.eventStream = eventStream;
        this.remainingBytes = remainingBytes;
    }

    /** Returns the body that follows a head, and makes a body of unknown length chunked. */
    static AnswerBody after(HttpResponse head, boolean headRequest) {
        final int status = head.status().code();
        final boolean absent = headRequest || status == NO_CONTENT || status == NOT_MODIFIED;
        final long length =
                absent ? UNKNOWN_LENGTH : HttpUtil.getContentLength(head, UNKNOWN_LENGTH);
        if (!absent && length == UNKNOWN_LENGTH) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        final String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return new AnswerBody(absent, type != null && type.startsWith(EVENT_STREAM), length);
    }

    /** Returns whether the answer has no body, whatever is written to it. */
    boolean isAbsent() {
        return absent;
    }

    /** Returns whether a failure can be reported as a further event of the body. */
    boolean mayEndWithErrorEvent() {
        return eventStream && !absent && remainingBytes == UNKNOWN_LENGTH;
    }

    /** Records bytes of the body; returns false if they exceed the announced length. */
    boolean add(byte[] bytes) {
        if (remainingBytes != UNKNOWN_LENGTH) {
            remainingBytes -= bytes.length;
            if (remainingBytes < 0) {
                return false;
            }
        }
        byteBeforeLast = bytes.length > 1 ? bytes[bytes.length - 2] : lastByte;
        lastByte = bytes[bytes.length - 1];
        return true;
    }

    /** Returns whether fewer bytes were added than were announced. */
    boolean isIncomplete() {
        return remainingBytes > 0;
    }

    /** Returns whether the bytes so far end between two events. */
    boolean endsBetweenEvents() {
        return lastByte == '\n' && byteBeforeLast == '\n';
    }
}
