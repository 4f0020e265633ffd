package org.crocushaven.network;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.crocushaven.observability.EventLine;

/** Serves short HTTP requests, whose whole body is read before they are handled. */
public final class AggregatingHttpServer {
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;

    private AggregatingHttpServer() {}

    /**
     * Starts listening.
     *
     * @param handler answers a request, which stays valid until the method returns its future; one
     *     that fails is answered with status 500
     */
    public static Listener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            Function<FullHttpRequest, CompletableFuture<FullHttpResponse>> handler) {
        return Listener.bind(
                group,
                address,
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                .addLast(new CallHandler(handler));
                    }
                });
    }

    private static final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<FullHttpRequest, CompletableFuture<FullHttpResponse>> handler;

        /** Completes when the call before has its answer: answers follow the order of the calls. */
        private CompletableFuture<Void> lastAnswered = CompletableFuture.completedFuture(null);

        private CallHandler(
                Function<FullHttpRequest, CompletableFuture<FullHttpResponse>> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            final boolean keepOpen = HttpUtil.isKeepAlive(request);
            final CompletableFuture<FullHttpResponse> answer =
                    answerTo(request).exceptionally(CallHandler::faultAnswer);
            lastAnswered =
                    lastAnswered
                            .thenAcceptBoth(
                                    answer,
                                    (before, response) ->
                                            answer(context.channel(), response, keepOpen))
                            .exceptionally(fault -> closeAfter(fault, context));
        }

        private static Void closeAfter(Throwable fault, ChannelHandlerContext context) {
            EventLine.fault(fault).error();
            context.close();
            return null;
        }

        private CompletableFuture<FullHttpResponse> answerTo(FullHttpRequest request) {
            try {
                return handler.apply(request);
            } catch (RuntimeException fault) {
                return CompletableFuture.failedFuture(fault);
            }
        }

        private static FullHttpResponse faultAnswer(Throwable fault) {
            EventLine.fault(fault).error();
            return new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    Unpooled.EMPTY_BUFFER);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private static void answer(Channel channel, FullHttpResponse response, boolean keepOpen) {
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepOpen);
            if (keepOpen) {
                channel.writeAndFlush(response);
            } else {
                channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
