package org.crocushaven.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;
import java.util.function.LongConsumer;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Encodes and decodes the frames of one connection.
 *
 * <p>A frame consists of a 32-bit length, an 8-bit protocol version, an 8-bit kind, a 16-bit
 * message type, a 64-bit correlation number and the MessagePack payload. All numbers are
 * big-endian; the length does not include its own 4 bytes.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    static final int PROTOCOL_VERSION = 1;
    static final int MAXIMUM_FRAME_BYTES = 16 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 12;

    private final LongConsumer receivedBytes;
    private final LongConsumer sentBytes;

    FrameCodec(LongConsumer receivedBytes, LongConsumer sentBytes) {
        super(Frame.class);
        this.receivedBytes = receivedBytes;
        this.sentBytes = sentBytes;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
        final byte[] payload = MessageCodec.encode(frame.message());
        if (HEADER_BYTES + payload.length > MAXIMUM_FRAME_BYTES) {
            throw ResultException.of(
                    ResultCode.FRAME_TOO_LARGE, payload.length, MAXIMUM_FRAME_BYTES);
        }
        out.ensureWritable(LENGTH_BYTES + HEADER_BYTES + payload.length);
        out.writeInt(HEADER_BYTES + payload.length);
        out.writeByte(PROTOCOL_VERSION);
        out.writeByte(frame.kind().ordinal());
        out.writeShort(MessageType.of(frame.message()).number());
        out.writeLong(frame.correlation());
        out.writeBytes(payload);
        sentBytes.accept(LENGTH_BYTES + HEADER_BYTES + payload.length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        final long length = in.getUnsignedInt(in.readerIndex());
        if (length > MAXIMUM_FRAME_BYTES) {
            throw ResultException.of(ResultCode.FRAME_TOO_LARGE, length, MAXIMUM_FRAME_BYTES);
        }
        if (length < HEADER_BYTES) {
            throw ResultException.of(
                    ResultCode.FRAME_MALFORMED, "length below the 12 header bytes: " + length);
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        receivedBytes.accept(LENGTH_BYTES + length);
        out.add(readFrame(in, (int) length));
    }

    private static Frame readFrame(ByteBuf in, int length) {
        final int version = in.readUnsignedByte();
        if (version != PROTOCOL_VERSION) {
            throw ResultException.of(ResultCode.PROTOCOL_VERSION_UNSUPPORTED, version);
        }
        final int kind = in.readUnsignedByte();
        if (kind >= FrameKind.values().length) {
            throw ResultException.of(ResultCode.FRAME_MALFORMED, "unknown frame kind " + kind);
        }
        final int number = in.readUnsignedShort();
        final MessageType type =
                MessageType.fromNumber(number)
                        .orElseThrow(
                                () -> ResultException.of(ResultCode.MESSAGE_TYPE_UNKNOWN, number));
        final long correlation = in.readLong();
        final byte[] payload = new byte[length - HEADER_BYTES];
        in.readBytes(payload);
        return new Frame(FrameKind.values()[kind], correlation, MessageCodec.decode(type, payload));
    }
}
