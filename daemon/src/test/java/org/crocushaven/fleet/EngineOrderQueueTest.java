package org.crocushaven.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.outbound.AnsweredRequest;
import org.crocushaven.outbound.BackendPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that an exception in one order does not hold those behind it. */
class EngineOrderQueueTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int ACCEPTED = 202;
    private static final EngineOrder ORDER = EngineOrder.load("base", "a1", OptionalLong.empty());

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private volatile int answersToFail;
    private volatile int ordersToFail;
    private volatile int reportsToFail;
    private HttpServer engine;
    private EngineOrderQueue queue;

    @BeforeEach
    void start() throws Exception {
        engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        engine.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(ACCEPTED, -1);
                    exchange.close();
                });
        engine.start();
        queue =
                new EngineOrderQueue(
                        announcement(),
                        new EngineOrderContext(
                                new FailingDialect(),
                                BackendPool.create(loop, SystemNanoClock.INSTANCE),
                                loop,
                                "leader",
                                1,
                                () -> true));
    }

    @AfterEach
    void stop() throws InterruptedException {
        engine.stop(0);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private BackendAnnouncement announcement() {
        return new BackendAnnouncement(
                "engine",
                "engines",
                "127.0.0.1",
                engine.getAddress().getPort(),
                "a",
                BackendState.READY,
                4,
                1,
                1,
                false,
                List.of(),
                "",
                0);
    }

    private CompletableFuture<OrderOutcome> submit() throws Exception {
        return loop.submit(() -> queue.submit(ORDER)).get();
    }

    private static OrderOutcome outcomeOf(CompletableFuture<OrderOutcome> order) throws Exception {
        return order.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void orderWhoseAnswerCannotBeReadIsUnknownAndTheNextIsSent() throws Exception {
        answersToFail = 1;

        assertEquals(OrderOutcome.UNKNOWN, outcomeOf(submit()));
        assertEquals(OrderOutcome.ACCEPTED, outcomeOf(submit()));
    }

    @Test
    void orderThatCannotBeWrittenIsRefusedAndTheNextIsSent() throws Exception {
        ordersToFail = 1;

        assertEquals(OrderOutcome.REFUSED, outcomeOf(submit()));
        assertEquals(OrderOutcome.ACCEPTED, outcomeOf(submit()));
    }

    @Test
    void orderWhoseReportCannotBeAskedForIsRefusedAndTheNextIsSent() throws Exception {
        reportsToFail = 1;

        assertEquals(OrderOutcome.REFUSED, outcomeOf(submit()));
        assertEquals(OrderOutcome.ACCEPTED, outcomeOf(submit()));
    }

    /** Throws as often as the test demands. */
    private final class FailingDialect implements ControlDialect {
        private FullHttpRequest request() {
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        }

        @Override
        public ControlCall decode(FullHttpRequest call) {
            throw new UnsupportedOperationException();
        }

        @Override
        public IngressConfiguration decodeConfiguration(byte[] document) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FullHttpRequest encodeOrder(String backend, EngineOrder order, OrderFence fence) {
            if (ordersToFail > 0) {
                ordersToFail--;
                throw new IllegalStateException("injected");
            }
            return request();
        }

        @Override
        public AnsweredRequest answeredCall(FullHttpRequest call, HttpResponse answer) {
            return AnsweredRequest.UNNAMED;
        }

        @Override
        public OrderOutcome decodeOrderAnswer(int status) {
            if (answersToFail > 0) {
                answersToFail--;
                throw new IllegalStateException("injected");
            }
            return OrderOutcome.ACCEPTED;
        }

        @Override
        public FullHttpRequest encodeReportRequest(String backend) {
            if (reportsToFail > 0) {
                reportsToFail--;
                throw new IllegalStateException("injected");
            }
            return request();
        }

        @Override
        public EngineReport decodeReport(byte[] body) {
            return new EngineReport(false, 0, 0, 0, List.of(), List.of());
        }
    }
}
