package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits the body of an event stream into complete events, so that an event which a backend server
 * sent only in part is not forwarded.
 *
 * <p>An event ends with an empty line. Events up to the last forwarded one, which a backend server
 * repeats when it resumes a stream, are dropped.
 */
final class EventSplitter {
    private static final int MAXIMUM_EVENT_BYTES = 4 << 20;

    /** Maximum size of events repeated in a row; a stream that resumes may repeat all of it. */
    private static final int MAXIMUM_REPEATED_BYTES = 8 << 20;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final String ID_FIELD = "id:";

    private static final int SMALL_BUFFER_BYTES = 512;

    /** Capacity above which an empty buffer is replaced by a small one. */
    private static final int LARGE_BUFFER_BYTES = 64 << 10;

    private ByteBuf pending = Unpooled.buffer(SMALL_BUFFER_BYTES);

    /** Number of pending bytes in which no end of an event was found. */
    private int searchedBytes;

    /** Start of the last line in them, counted from the first pending byte. */
    private int lineOffset;

    private String lastEventId = "";
    private long lastNumber = -1;
    private long eventCount;
    private long repeatedBytes;
    private boolean outOfSequence;

    /** Returns a splitter that goes on after the last forwarded event of this one. */
    EventSplitter continued() {
        final EventSplitter next = new EventSplitter();
        next.lastEventId = lastEventId;
        next.lastNumber = lastNumber;
        next.eventCount = eventCount;
        return next;
    }

    /**
     * Adds bytes of the body and returns the new complete events in them, or null when there are
     * none.
     */
    ByteBuf add(ByteBuf data) {
        pending.writeBytes(data);
        ByteBuf complete = null;
        int end = endOfEvent();
        while (end >= 0 && !outOfSequence) {
            final ByteBuf event = pending.readSlice(end - pending.readerIndex());
            if (accept(event)) {
                if (complete == null) {
                    complete = Unpooled.buffer(event.readableBytes() + pending.readableBytes());
                }
                complete.writeBytes(event);
            }
            end = endOfEvent();
        }
        if (!pending.isReadable() && pending.capacity() > LARGE_BUFFER_BYTES) {
            pending = Unpooled.buffer(SMALL_BUFFER_BYTES);
        }
        pending.discardReadBytes();
        return complete;
    }

    /**
     * Discards a partially received event and forgets events out of sequence, before another
     * backend server resumes the stream.
     */
    void discardPartialEvent() {
        pending = Unpooled.buffer(SMALL_BUFFER_BYTES);
        searchedBytes = 0;
        lineOffset = 0;
        repeatedBytes = 0;
        outOfSequence = false;
    }

    /** Returns the size, in bytes, of the buffer of an incomplete event. */
    long bufferBytes() {
        return pending.capacity();
    }

    /** Returns whether an incomplete event is buffered. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Returns whether an event is too long, events are missing, without the numbers of those before
     * them or repeated without end, so that no further event may be forwarded.
     */
    boolean isBroken() {
        return outOfSequence
                || repeatedBytes > MAXIMUM_REPEATED_BYTES
                || pending.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /**
     * Returns the identifier of the last forwarded event; empty when no forwarded event had one.
     */
    Optional<String> lastEventId() {
        return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
    }

    /** Sets the event after which the client wants the stream to resume. */
    void resumeAfter(String eventId) {
        lastEventId = eventId;
        lastNumber = numberOf(eventId);
    }

    /** Returns the number of forwarded events. */
    long eventCount() {
        return eventCount;
    }

    private boolean accept(ByteBuf event) {
        final String id = idOf(event);
        final long number = numberOf(id);
        if (number < 0 && lastNumber >= 0 && !isComment(event)) {
            outOfSequence = true;
            return false;
        }
        if (number >= 0 && lastNumber >= 0) {
            if (number <= lastNumber) {
                repeatedBytes += event.readableBytes();
                return false;
            }
            if (number > lastNumber + 1) {
                outOfSequence = true;
                return false;
            }
        }
        if (!id.isEmpty()) {
            lastEventId = id;
            lastNumber = number;
        }
        eventCount++;
        repeatedBytes = 0;
        return true;
    }

    /**
     * Returns the index after the empty line that ends the first event, or -1 when it is
     * incomplete.
     */
    private int endOfEvent() {
        final int start = pending.readerIndex();
        int feed = nextFeed(start + searchedBytes);
        while (feed >= 0) {
            final int lineStart = start + lineOffset;
            final int length = feed - lineStart;
            final boolean empty =
                    length == 0 || length == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN;
            if (empty) {
                searchedBytes = 0;
                lineOffset = 0;
                return feed + 1;
            }
            lineOffset = feed + 1 - start;
            feed = nextFeed(feed + 1);
        }
        searchedBytes = pending.readableBytes();
        return -1;
    }

    private int nextFeed(int from) {
        return pending.indexOf(from, pending.writerIndex(), LINE_FEED);
    }

    private static String idOf(ByteBuf event) {
        int lineStart = event.readerIndex();
        while (lineStart < event.writerIndex()) {
            int feed = event.indexOf(lineStart, event.writerIndex(), LINE_FEED);
            if (feed < 0) {
                feed = event.writerIndex();
            }
            if (startsWithId(event, lineStart, feed)) {
                return event.toString(
                                lineStart + ID_FIELD.length(),
                                feed - lineStart - ID_FIELD.length(),
                                StandardCharsets.UTF_8)
                        .trim();
            }
            lineStart = feed + 1;
        }
        return "";
    }

    /** Returns whether each line of an event is a comment, as in one that keeps a stream open. */
    private static boolean isComment(ByteBuf event) {
        int lineStart = event.readerIndex();
        boolean comment = event.getByte(lineStart) == COMMENT;
        while (comment && lineStart < event.writerIndex()) {
            final byte first = event.getByte(lineStart);
            comment = first == COMMENT || first == LINE_FEED || first == CARRIAGE_RETURN;
            lineStart = event.indexOf(lineStart, event.writerIndex(), LINE_FEED) + 1;
        }
        return comment;
    }

    private static boolean startsWithId(ByteBuf event, int start, int end) {
        return end - start >= ID_FIELD.length()
                && event.getByte(start) == 'i'
                && event.getByte(start + 1) == 'd'
                && event.getByte(start + 2) == ':';
    }

    private static long numberOf(String id) {
        if (id.isEmpty() || id.length() > 15) {
            return -1;
        }
        long number = 0;
        for (int position = 0; position < id.length(); position++) {
            final char digit = id.charAt(position);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            number = number * 10 + digit - '0';
        }
        return number;
    }
}
