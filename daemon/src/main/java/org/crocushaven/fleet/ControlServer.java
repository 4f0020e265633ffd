package org.crocushaven.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.crocushaven.network.AggregatingHttpServer;
import org.crocushaven.network.Listener;
import org.crocushaven.observability.EventLine;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Answers the calls of operators and backend servers. */
public final class ControlServer {
    private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

    private final ControlInstance control;
    private final ControlDialect dialect;

    private ControlServer(ControlInstance control, ControlDialect dialect) {
        this.control = control;
        this.dialect = dialect;
    }

    /** Starts to listen. */
    public static Listener listen(
            EventLoopGroup group,
            InetSocketAddress address,
            ControlInstance control,
            ControlDialect dialect) {
        final ControlServer server = new ControlServer(control, dialect);
        return AggregatingHttpServer.listen(group, address, server::answer);
    }

    private CompletableFuture<FullHttpResponse> answer(FullHttpRequest request) {
        final CompletableFuture<byte[]> body;
        try {
            body = carryOut(dialect.decode(request));
        } catch (ResultException refusal) {
            return CompletableFuture.completedFuture(failure(request, refusal));
        }
        final String call = request.method() + " " + request.uri();
        return body.handle(
                (bytes, thrown) ->
                        thrown == null
                                ? response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(bytes))
                                : failure(call, refusalOf(thrown)));
    }

    private CompletableFuture<byte[]> carryOut(ControlCall call) {
        if (call instanceof ControlCall.Announce announce) {
            return control.announce(announce.announcement()).thenApply(done -> EMPTY_OBJECT);
        }
        if (call instanceof ControlCall.Replace replace) {
            return control.replace(replace.configuration().version(), replace.document())
                    .thenApply(done -> accepted(replace.configuration().version()));
        }
        if (call instanceof ControlCall.RequireVersion named) {
            return control.requireVersion(named.version()).thenApply(done -> EMPTY_OBJECT);
        }
        if (call instanceof ControlCall.Evacuate order) {
            return control.evacuate(order.failureDomain(), order.begins())
                    .thenApply(done -> EMPTY_OBJECT);
        }
        return control.describe();
    }

    private static byte[] accepted(long version) {
        EventLine.of("configuration-accepted").with("version", version).info();
        return EMPTY_OBJECT;
    }

    private static FullHttpResponse failure(FullHttpRequest request, ResultException refusal) {
        return failure(request.method() + " " + request.uri(), refusal);
    }

    private static FullHttpResponse failure(String call, ResultException refusal) {
        EventLine.of("call-refused")
                .with("call", call)
                .with("code", refusal.code().number())
                .with("detail", refusal.getMessage())
                .info();
        final String detail = refusal.getMessage().replace('"', '\'').replace('\\', '/');
        final String text =
                "{\"error\":\"" + refusal.code().number() + " " + detail.replace('\n', ' ') + "\"}";
        return response(
                HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
        final FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return response;
    }

    private static ResultException refusalOf(Throwable thrown) {
        final Throwable cause =
                thrown instanceof CompletionException && thrown.getCause() != null
                        ? thrown.getCause()
                        : thrown;
        if (cause instanceof ResultException refusal) {
            return refusal;
        }
        EventLine.fault(cause).error();
        return ResultException.of(ResultCode.INTERNAL, cause.getClass().getSimpleName());
    }
}
