package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.crocushaven.outbound.AnswerMemory;

/** Collects the body of an answer that is forwarded as a whole. */
final class AnswerBody {
    private final AnswerMemory.Share memory;
    private ByteBuf bytes = Unpooled.buffer();

    AnswerBody(AnswerMemory.Share memory) {
        this.memory = memory;
    }

    /** Adds bytes; returns false, and adds none, if the answer is too large. */
    boolean tryAdd(ByteBuf data) {
        final boolean fits = memory.tryResize(bytes.readableBytes() + data.readableBytes());
        if (fits) {
            bytes.writeBytes(data);
        }
        return fits;
    }

    /** Returns the bytes and transfers their reference to the caller. */
    ByteBuf bytes() {
        return bytes;
    }

    /** Drops the bytes. */
    void discard() {
        bytes = Unpooled.EMPTY_BUFFER;
        memory.release();
    }
}
