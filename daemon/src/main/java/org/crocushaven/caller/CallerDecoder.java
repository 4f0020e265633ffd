package org.crocushaven.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes callers' HTTP requests strictly and runs an action each time bytes are received. */
final class CallerDecoder extends HttpRequestDecoder {
    private static final int MAXIMUM_INITIAL_LINE_BYTES = 4_096;

    private final Runnable onBytesReceived;

    CallerDecoder(int maximumHeaderBytes, Runnable onBytesReceived) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
                        .setMaxHeaderSize(maximumHeaderBytes)
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
        this.onBytesReceived = onBytesReceived;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        onBytesReceived.run();
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "the request has both Content-Length and chunked Transfer-Encoding");
    }
}
