package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.crocushaven.ingress.IngressLimits;

/**
 * Decodes requests and rejects those whose end two parsers could determine differently (request
 * smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    StrictRequestDecoder(IngressLimits limits) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(
                                Math.min(MAXIMUM_LINE_BYTES, limits.maximumHeaderBytes()))
                        .setMaxHeaderSize(limits.maximumHeaderBytes())
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and chunked Transfer-Encoding");
    }
}
