package org.crocushaven.backend;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import org.crocushaven.security.ForwardableHeaders;

/** Encodes a request to a backend server as HTTP, with the headers that it may receive. */
final class BackendRequestEncoder {
    private static final String TIMEOUT_MILLIS = "Crocushaven-Timeout-Millis";

    private BackendRequestEncoder() {}

    /**
     * Returns the HTTP request.
     *
     * @param closeAfterwards whether the backend server should close the connection afterwards
     */
    static FullHttpRequest encode(
            BackendServer server, BackendRequest request, boolean closeAfterwards) {
        final FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        Unpooled.wrappedBuffer(request.body()));
        final HttpHeaders headers = message.headers();
        for (final Map.Entry<String, List<String>> header : request.headers().entrySet()) {
            if (ForwardableHeaders.maySendToBackendServer(header.getKey())) {
                headers.set(header.getKey(), header.getValue());
            }
        }
        headers.set(HttpHeaderNames.HOST, server.host() + ":" + server.port());
        if (closeAfterwards) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        headers.set(AnswerHeaders.REQUEST_ID, request.requestId());
        headers.set(TIMEOUT_MILLIS, Long.toString(request.timeoutMillis()));
        headers.set("Priority", "u=" + request.urgency());
        if (request.body().length > 0 || !isMethodWithoutBody(message.method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return message;
    }

    private static boolean isMethodWithoutBody(HttpMethod method) {
        return HttpMethod.GET.equals(method) || HttpMethod.HEAD.equals(method);
    }
}
