package org.crocushaven.operator;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Answers the requests on one connection in order.
 *
 * <p>Reading is paused while a request is being answered; requests that were already decoded wait
 * in a queue.
 */
final class OperatorEndpoint extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final OperatorRoutes routes;
    private final String instance;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private boolean answering;

    OperatorEndpoint(OperatorRoutes routes, String instance) {
        this.routes = routes;
        this.instance = instance;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        waiting.add(request.retain());
        answerNext(context);
    }

    private void answerNext(ChannelHandlerContext context) {
        if (answering || waiting.isEmpty()) {
            return;
        }
        answering = true;
        context.channel().config().setAutoRead(false);
        final FullHttpRequest request = waiting.remove();
        final boolean keepAlive = HttpUtil.isKeepAlive(request);
        final OperatorCall call = call(request);
        request.release();
        answer(call)
                .exceptionally(failure -> refusal(call, failure))
                .thenAccept(response -> write(context, response, keepAlive));
    }

    private static OperatorCall call(FullHttpRequest request) {
        final QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        return new OperatorCall(
                request.method().name(),
                uri.rawPath(),
                uri.parameters(),
                ByteBufUtil.getBytes(request.content()));
    }

    private CompletableFuture<OperatorResponse> answer(OperatorCall call) {
        try {
            return routes.answer(call);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private static OperatorResponse refusal(OperatorCall call, Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        if (cause instanceof ResultException refusal) {
            return OperatorResponse.refusal(refusal);
        }
        EventLine.fault(cause).with("path", call.path()).error();
        return OperatorResponse.refusal(
                ResultException.of(ResultCode.INTERNAL, cause.getClass().getSimpleName()));
    }

    private void write(
            ChannelHandlerContext context, OperatorResponse response, boolean keepAlive) {
        context.executor()
                .execute(
                        () -> {
                            final ChannelFuture written =
                                    context.writeAndFlush(response.encode(instance, keepAlive));
                            if (!keepAlive) {
                                written.addListener(ChannelFutureListener.CLOSE);
                                return;
                            }
                            answering = false;
                            context.channel().config().setAutoRead(true);
                            answerNext(context);
                        });
    }
}
