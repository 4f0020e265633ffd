package org.crocushaven.backend;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.Problem;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Answers the announcements on one connection in order. */
final class AnnouncementEndpoint extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

    private final AnnouncementHandler handler;
    private final String instance;

    AnnouncementEndpoint(AnnouncementHandler handler, String instance) {
        this.handler = handler;
        this.instance = instance;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        final boolean valid = request.decoderResult().isSuccess();
        final FullHttpResponse response =
                valid
                        ? answer(
                                request.method(),
                                request.uri(),
                                ByteBufUtil.getBytes(request.content()))
                        : refusal(malformed());
        final boolean keepAlive = valid && HttpUtil.isKeepAlive(request);
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        final ChannelFuture written = context.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private FullHttpResponse answer(HttpMethod method, String path, byte[] body) {
        try {
            announce(method, path, body);
            return response(HttpResponseStatus.OK, "application/json", EMPTY_OBJECT);
        } catch (ResultException refusal) {
            return refusal(refusal);
        } catch (RuntimeException failure) {
            EventLine.fault(failure).with("path", path).error();
            return refusal(
                    ResultException.of(ResultCode.INTERNAL, failure.getClass().getSimpleName()));
        }
    }

    private void announce(HttpMethod method, String path, byte[] body) {
        switch (path) {
            case "/announce/register" -> handler.register(parsePost(method, body).registration());
            case "/announce/heartbeat" -> {
                final AnnouncementParser parser = parsePost(method, body);
                handler.recordHeartbeat(parser.name(), parser.heartbeat());
            }
            case "/announce/drain" -> {
                final AnnouncementParser parser = parsePost(method, body);
                handler.startDraining(parser.name(), parser.incarnation());
            }
            case "/announce/leave" -> {
                final AnnouncementParser parser = parsePost(method, body);
                handler.remove(parser.name(), parser.incarnation());
            }
            default -> throw ResultException.of(ResultCode.UNKNOWN_ROUTE, path);
        }
    }

    private FullHttpResponse refusal(ResultException refusal) {
        final FullHttpResponse response =
                response(
                        HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                        Problem.MEDIA_TYPE,
                        Problem.encode(refusal, ""));
        response.headers().set(AnswerHeaders.EXECUTION, refusal.execution().headerValue());
        return response;
    }

    private FullHttpResponse response(HttpResponseStatus status, String type, byte[] body) {
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        response.headers().set("Crocushaven-Instance", instance);
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    private static AnnouncementParser parsePost(HttpMethod method, byte[] body) {
        if (!HttpMethod.POST.equals(method)) {
            throw ResultException.of(ResultCode.METHOD_NOT_ALLOWED, method, HttpMethod.POST);
        }
        return AnnouncementParser.of(body);
    }

    private static ResultException malformed() {
        return ResultException.of(ResultCode.MALFORMED_REQUEST, "not valid HTTP/1.1");
    }
}
