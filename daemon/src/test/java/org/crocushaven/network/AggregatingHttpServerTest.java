package org.crocushaven.network;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AggregatingHttpServerTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final long FIRST_ANSWER_MILLIS = 300;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private int statusFrom(Function<FullHttpRequest, CompletableFuture<FullHttpResponse>> handler)
            throws Exception {
        final InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (Listener listener = AggregatingHttpServer.listen(group, any, handler)) {
            final URI uri = URI.create("http://127.0.0.1:" + listener.address().getPort() + "/");
            final HttpRequest request =
                    HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).build();
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        }
    }

    @Test
    void callWhoseHandlerThrowsIsAnswered() throws Exception {
        assertEquals(
                500,
                statusFrom(
                        request -> {
                            throw new IllegalStateException("injected");
                        }));
    }

    @Test
    void callWhoseHandlerFailsLaterIsAnswered() throws Exception {
        assertEquals(
                500,
                statusFrom(
                        request ->
                                CompletableFuture.failedFuture(
                                        new IllegalStateException("injected"))));
    }

    private static FullHttpResponse response(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    private static String call(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n";
    }

    @Test
    void pipelinedCallsAreAnsweredInOrder() throws Exception {
        final CompletableFuture<FullHttpResponse> first = new CompletableFuture<>();
        final CompletableFuture<FullHttpResponse> second =
                CompletableFuture.completedFuture(response(HttpResponseStatus.ACCEPTED));
        final InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (Listener listener =
                        AggregatingHttpServer.listen(
                                group,
                                any,
                                request -> request.uri().equals("/first") ? first : second);
                Socket client = new Socket(any.getAddress(), listener.address().getPort())) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            final String calls = call("/first") + call("/second");
            client.getOutputStream().write(calls.getBytes(StandardCharsets.US_ASCII));
            group.schedule(
                    () -> first.complete(response(HttpResponseStatus.OK)),
                    FIRST_ANSWER_MILLIS,
                    TimeUnit.MILLISECONDS);

            final BufferedReader received =
                    new BufferedReader(
                            new InputStreamReader(
                                    client.getInputStream(), StandardCharsets.US_ASCII));

            assertEquals("HTTP/1.1 200 OK", received.readLine());
        }
    }
}
