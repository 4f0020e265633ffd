package org.crocushaven.network;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AggregatingHttpServerTest {
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
}
