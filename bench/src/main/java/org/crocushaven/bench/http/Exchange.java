package org.crocushaven.bench.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Holds one HTTP request and sends its answer; confined to the connection's event loop. */
public final class Exchange {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Channel channel;
    private final String method;
    private final String path;
    private final HttpHeaders headers;
    private final String body;
    private final boolean keepAlive;
    private Runnable closeListener = () -> {};
    private boolean ended;

    private Exchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        method = request.method().name();
        path = new QueryStringDecoder(request.uri()).path();
        headers = request.headers().copy();
        body = request.content().toString(StandardCharsets.UTF_8);
        keepAlive = HttpUtil.isKeepAlive(request);
    }

    static Exchange of(Channel channel, FullHttpRequest request) {
        return new Exchange(channel, request);
    }

    public String method() {
        return method;
    }

    public String path() {
        return path;
    }

    public HttpHeaders headers() {
        return headers;
    }

    public String body() {
        return body;
    }

    /** Returns the body as JSON, or a missing node if it is malformed. */
    public JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException malformed) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
        return headers.get(name, "");
    }

    /** Returns whether the connection's write buffer has room for more data. */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Sets the listener to run if the connection closes before the answer has ended. */
    public void onClose(Runnable listener) {
        closeListener = listener;
    }

    /** Answers with a JSON document; does nothing if the answer has already ended. */
    public void answer(int status, Object document) {
        answer(status, Map.of(), document);
    }

    /** Answers with headers and a JSON document; does nothing if the answer has already ended. */
    public void answer(int status, Map<String, String> answerHeaders, Object document) {
        if (ended) {
            return;
        }
        ended = true;
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), encode(document));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        answerHeaders.forEach((name, value) -> response.headers().set(name, value));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        final var written = channel.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Starts an answer that is a stream of server-sent events. */
    public void beginEvents(Map<String, String> answerHeaders) {
        final HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        answerHeaders.forEach((name, value) -> response.headers().set(name, value));
        HttpUtil.setTransferEncodingChunked(response, true);
        HttpUtil.setKeepAlive(response, keepAlive);
        channel.writeAndFlush(response);
    }

    /** Sends one server-sent event whose data is a JSON document. */
    public void event(Object document) {
        final ByteBuf data =
                Unpooled.wrappedBuffer(utf8("data: "), encode(document).array(), utf8("\n\n"));
        channel.writeAndFlush(new DefaultHttpContent(data));
    }

    /** Sends the final {@code [DONE]} event and ends the answer. */
    public void endEvents() {
        ended = true;
        channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(utf8("data: [DONE]\n\n"))));
        final var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Closes the connection without ending the answer. */
    public void cut() {
        ended = true;
        channel.close();
    }

    void connectionClosed() {
        if (!ended) {
            ended = true;
            closeListener.run();
        }
    }

    private static ByteBuf encode(Object document) {
        try {
            return Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(document));
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException(failure);
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
