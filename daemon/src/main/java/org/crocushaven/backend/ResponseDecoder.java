package org.crocushaven.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the answers on one connection and closes it if bytes arrive while none is expected.
 *
 * <p>Used on the connection's event loop only.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean answerExpected;
    private boolean headRequest;

    ResponseDecoder(BackendClientLimits limits) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(limits.maximumHeaderBytes())
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
    }

    /** Expects the answer to one request. */
    void expectAnswer(boolean isHeadRequest) {
        answerExpected = true;
        headRequest = isHeadRequest;
    }

    /** Expects no answer: if bytes arrive, the connection is closed. */
    void expectNoAnswer() {
        answerExpected = false;
    }

    /** Returns whether bytes beyond the complete answer have arrived. */
    boolean hasUnreadBytes() {
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
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "answer has both Content-Length and chunked Transfer-Encoding");
    }
}
