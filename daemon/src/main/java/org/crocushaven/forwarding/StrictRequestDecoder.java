package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.crocushaven.ingress.IngressLimits;

/**
 * Decodes requests and rejects those whose end two parsers could determine differently (request
 * smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private boolean requestBegun;

    StrictRequestDecoder(IngressLimits limits) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.maximumHeaderBytes())
                        .setMaxHeaderSize(limits.maximumHeaderBytes())
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true));
    }

    /** Returns whether no byte of a request that is not whole has arrived. */
    boolean isBetweenRequests() {
        return !requestBegun && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        final int bytesBefore = buffer.readableBytes();
        final int messagesBefore = out.size();
        super.decode(context, buffer, out);
        if (out.size() > messagesBefore) {
            requestBegun = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (buffer.readableBytes() < bytesBefore) {
            requestBegun = true;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and chunked Transfer-Encoding");
    }
}
