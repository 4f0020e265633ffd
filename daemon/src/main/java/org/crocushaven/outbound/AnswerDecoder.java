package org.crocushaven.outbound;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the answers on one connection, refuses those whose end is in doubt, and closes the
 * connection if bytes arrive while no answer is expected.
 *
 * <p>Used on the connection's event loop only.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final AsciiString CONTENT_LENGTH = AsciiString.cached("content-length");

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

    /** Expects no answer: if bytes arrive, the connection is closed. */
    public void expectNoAnswer() {
        answerExpected = false;
    }

    /** Returns whether bytes beyond the complete answer have arrived. */
    public boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (answerExpected) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            context.close();
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
