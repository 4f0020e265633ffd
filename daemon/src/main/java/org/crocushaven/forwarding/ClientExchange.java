package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.ResultException;

/** Writes the answer to one request to the client's connection. */
final class ClientExchange implements ClientAnswer {
    private static final int RETRY_AFTER_DECIMALS = 3;

    private final IngressConnection connection;
    private final Channel channel;
    private final boolean keepAlive;

    /** Whether the connection stays open, as the head of the answer says. */
    private boolean keepOpen;

    /**
     * Creates the exchange of one request.
     *
     * @param keepAlive whether the client wants the connection to stay open
     */
    ClientExchange(IngressConnection connection, Channel channel, boolean keepAlive) {
        this.connection = connection;
        this.channel = channel;
        this.keepAlive = keepAlive;
    }

    /**
     * Returns the response for a refusal: the result code's number, its message and when to retry.
     */
    static FullHttpResponse refusal(ResultException refusal) {
        final ByteBuf text =
                ByteBufUtil.writeUtf8(
                        Unpooled.buffer().alloc(),
                        refusal.code().number() + " " + refusal.getMessage() + "\n");
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(refusal.code().httpStatus()),
                        text);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, text.readableBytes());
        refusal.retryAfter()
                .ifPresent(
                        delay ->
                                response.headers()
                                        .set(
                                                HttpHeaderNames.RETRY_AFTER,
                                                seconds(delay.toNanos())));
        return response;
    }

    @Override
    public void refuse(ResultException refusal) {
        final FullHttpResponse response = refusal(refusal);
        finish(response);
    }

    @Override
    public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        final FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(headers);
        HttpUtil.setContentLength(response, body.readableBytes());
        finish(response);
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        setKeepAlive(response);
        channel.write(response);
    }

    @Override
    public void sendEvents(ByteBuf events) {
        channel.writeAndFlush(new DefaultHttpContent(events), channel.voidPromise());
    }

    @Override
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abort() {
        channel.close();
        connection.answerWritten(false);
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    private void finish(FullHttpResponse response) {
        setKeepAlive(response);
        write(response);
    }

    private void setKeepAlive(HttpResponse response) {
        keepOpen = keepAlive && connection.mayStayOpen();
        HttpUtil.setKeepAlive(response, keepOpen);
    }

    private void write(Object last) {
        if (keepOpen) {
            channel.writeAndFlush(last, channel.voidPromise());
        } else {
            channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
        }
        connection.answerWritten(keepOpen);
    }

    private static String seconds(long nanos) {
        return BigDecimal.valueOf(nanos)
                .divide(
                        BigDecimal.valueOf(TimeUnit.SECONDS.toNanos(1)),
                        RETRY_AFTER_DECIMALS,
                        RoundingMode.CEILING)
                .toPlainString();
    }
}
