package org.crocushaven.outbound;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RefusalCheckTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private ConnectionTry.Finding check(InetSocketAddress address) throws Exception {
        final CompletableFuture<ConnectionTry.Finding> found = new CompletableFuture<>();
        RefusalCheck.on((EventLoop) group.next()).check(address, found::complete);
        return found.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ServerSocket open() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @Test
    void addressOfAnEndedProcessRefuses() throws Exception {
        final ServerSocket socket = open();
        final InetSocketAddress address =
                new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        socket.close();

        assertEquals(ConnectionTry.Finding.REFUSED, check(address));
    }

    @Test
    void addressThatIsListenedOnIsReached() throws Exception {
        try (ServerSocket socket = open()) {
            assertEquals(
                    ConnectionTry.Finding.REACHED,
                    check(new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort())));
        }
    }

    /** Guards against a frozen or cut-off process that is taken for one that ended. */
    @Test
    void addressThatDoesNotAnswerNeitherRefusesNorIsReached() throws Exception {
        try (ServerSocket socket = open()) {
            final InetSocketAddress address =
                    new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
            final EventLoop loop = (EventLoop) group.next();
            for (int connection = 0; connection < 8; connection++) {
                RefusalCheck.on(loop).check(address, refused -> {});
            }

            assertEquals(ConnectionTry.Finding.UNANSWERED, check(address));
        }
    }
}
