package org.crocushaven.operator;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Refuses invalid requests and requests without the operator key before any byte of their body is
 * buffered.
 *
 * <p>Requests of the platform need no key, but are refused if they have a body.
 */
final class OperatorRequestFilter extends ChannelInboundHandlerAdapter {
    private final OperatorKey key;
    private final String instance;
    private boolean refused;

    OperatorRequestFilter(OperatorKey key, String instance) {
        this.key = key;
        this.instance = instance;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!refused && message instanceof HttpRequest request) {
            check(context, request);
        }
        if (refused) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void check(ChannelHandlerContext context, HttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            refuse(context, ResultException.of(ResultCode.MALFORMED_REQUEST, "not valid HTTP/1.1"));
            return;
        }
        if (!OperatorRoutes.needsKey(request.uri())) {
            if (HttpUtil.getContentLength(request, 0L) > 0
                    || HttpUtil.isTransferEncodingChunked(request)) {
                refuse(context, ResultException.of(ResultCode.BODY_TOO_LARGE, 0));
            }
            return;
        }
        if (!key.matches(request.headers().getAll(HttpHeaderNames.AUTHORIZATION))) {
            refuse(context, ResultException.of(ResultCode.OPERATOR_KEY_REJECTED));
        }
    }

    private void refuse(ChannelHandlerContext context, ResultException refusal) {
        refused = true;
        context.writeAndFlush(OperatorResponse.refusal(refusal).encode(instance, false))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
