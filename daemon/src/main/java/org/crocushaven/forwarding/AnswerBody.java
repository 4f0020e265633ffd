package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.crocushaven.outbound.AnswerMemory;

/** Collects the body of an answer that is forwarded as a whole. */
final class AnswerBody {
    private static final int SMALLEST_PART_BYTES = 1 << 10;
    private static final int LARGEST_PART_BYTES = 256 << 10;

    private final AnswerMemory.Share memory;
    private final List<ByteBuf> parts = new ArrayList<>();
    private int capacityBytes;

    AnswerBody(AnswerMemory.Share memory) {
        this.memory = memory;
    }

    /** Adds bytes; returns false if the answer is too large. */
    boolean tryAdd(ByteBuf data) {
        while (data.isReadable()) {
            if (!hasRoom() && !tryAddPart()) {
                return false;
            }
            final ByteBuf last = parts.get(parts.size() - 1);
            last.writeBytes(data, Math.min(data.readableBytes(), last.writableBytes()));
        }
        return true;
    }

    private boolean hasRoom() {
        return !parts.isEmpty() && parts.get(parts.size() - 1).isWritable();
    }

    private boolean tryAddPart() {
        final int partBytes =
                Math.min(Math.max(capacityBytes, SMALLEST_PART_BYTES), LARGEST_PART_BYTES);
        final boolean fits = memory.tryResize(capacityBytes + partBytes);
        if (fits) {
            parts.add(Unpooled.buffer(partBytes, partBytes));
            capacityBytes += partBytes;
        }
        return fits;
    }

    /** Returns the bytes and transfers their reference to the caller. */
    ByteBuf bytes() {
        return Unpooled.wrappedBuffer(parts.size() + 1, parts.toArray(ByteBuf[]::new));
    }

    /** Drops the bytes. */
    void discard() {
        parts.clear();
        memory.release();
    }
}
