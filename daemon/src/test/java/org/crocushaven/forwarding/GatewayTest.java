package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemEpochClock;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.residency.RegionMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GatewayTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    @Test
    void periodicChecksGoOnAfterOneThatThrows() throws InterruptedException {
        final CountDownLatch checks = new CountDownLatch(2);
        final Gateway gateway =
                Gateway.create(
                        new GatewaySettings(
                                "gateway",
                                "a",
                                "127.0.0.1:1",
                                TIMEOUT_MILLIS,
                                0,
                                0,
                                RegionMap.EMPTY),
                        group,
                        new UnconnectedTransport(),
                        null,
                        document -> null,
                        new IgnoringObserver(),
                        () -> timeOfFailingFirstCheck(checks),
                        SystemEpochClock.INSTANCE);
        gateway.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), List.of("c"));

        assertTrue(checks.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "no second check");
    }

    private static long timeOfFailingFirstCheck(CountDownLatch checks) {
        final boolean inCheck =
                StackWalker.getInstance()
                        .walk(
                                frames ->
                                        frames.anyMatch(
                                                frame ->
                                                        frame.getMethodName()
                                                                .equals("runPeriodicChecks")));
        if (inCheck) {
            checks.countDown();
            if (checks.getCount() > 0) {
                throw new IllegalStateException("injected");
            }
        }
        return System.nanoTime();
    }

    /** Reaches no instance. */
    private static final class UnconnectedTransport implements PeerTransport {
        @Override
        public void send(String instance, Message message) {}

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            return new CompletableFuture<>();
        }

        @Override
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {}
    }
}
