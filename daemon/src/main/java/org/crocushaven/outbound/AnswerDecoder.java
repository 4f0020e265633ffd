package org.crocushaven.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes the answers on one connection, refuses those whose end is in doubt, and leaves bytes
 * unread that arrive while no answer is expected; the connection is then to be closed.
 *
 * <p>Used on the connection's event loop only.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final AsciiString CONTENT_LENGTH = AsciiString.cached("content-length");
    private static final int STATUS_BEGIN = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_BEGIN + 3;
    private static final String NO_STATUS = "-";

    private boolean answerExpected;
    private boolean headRequest;
    private int lengthLines;

    private AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Returns a decoder that expects no answer yet. */
    public static AnswerDecoder of(int maximumHeaderBytes) {
        return new AnswerDecoder(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(maximumHeaderBytes)
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
    }

    /** Expects the answer to one request. */
    public void expectAnswer(boolean isHeadRequest) {
        answerExpected = true;
        headRequest = isHeadRequest;
    }

    /** Expects no answer, so that no bytes are decoded. */
    public void expectNoAnswer() {
        answerExpected = false;
    }

    /** Returns whether bytes have arrived that no answer accounts for. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the status of the answer with which the unread bytes begin, or a dash. */
    String unreadStatus() {
        final ByteBuf bytes = internalBuffer();
        if (bytes.readableBytes() < STATUS_END) {
            return NO_STATUS;
        }
        final String status =
                bytes.toString(
                        bytes.readerIndex() + STATUS_BEGIN,
                        STATUS_END - STATUS_BEGIN,
                        StandardCharsets.US_ASCII);
        return AnswerFraming.isStatus(status) ? status : NO_STATUS;
    }

    /** Leaves bytes unread while no answer is expected, also those in one packet with the last. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        if (answerExpected) {
            super.decode(context, bytes, messages);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        lengthLines = 0;
        AnswerFraming.checkStatusLine(initialLine[0], initialLine[1], initialLine[2]);
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        AnswerFraming.checkColon(line, start + length);
        final AsciiString name = super.splitHeaderName(line, start, length);
        if (CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            lengthLines++;
        }
        return name;
    }

    /** Called once the head is read, when the library decides by which rule the body ends. */
    @Override
    public boolean isContentAlwaysEmpty(HttpMessage message) {
        AnswerFraming.checkHead(message, lengthLines);
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "answer has both Content-Length and chunked Transfer-Encoding");
    }
}
