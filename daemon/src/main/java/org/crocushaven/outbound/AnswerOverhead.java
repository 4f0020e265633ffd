package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Bounds the bytes of one answer that are no body: heads, informational ones too, the lines between
 * chunks, trailers and what is skipped. Stands before the decoder, which bounds single lines.
 */
final class AnswerOverhead extends ChannelInboundHandlerAdapter {
    private static final long MAXIMUM_BYTES = 1 << 20;

    /** Bytes that are allowed for each byte of a body; a chunk of one byte needs five more. */
    private static final long MAXIMUM_PER_BODY_BYTE = 16;

    private long received;
    private long body;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        received += ((ByteBuf) message).readableBytes();
        context.fireChannelRead(message);
    }

    /** Begins anew, with the answer to the next request or the idle time before it. */
    void begin() {
        received = 0;
        body = 0;
    }

    /** Counts bytes of a body. */
    void addBody(long bytes) {
        body += bytes;
    }

    /** Returns whether any bytes have come. */
    boolean hasBytes() {
        return received > 0;
    }

    /** Returns whether too many bytes have come that are no body. */
    boolean isExceeded() {
        return received - body > MAXIMUM_BYTES + MAXIMUM_PER_BODY_BYTE * body;
    }
}
