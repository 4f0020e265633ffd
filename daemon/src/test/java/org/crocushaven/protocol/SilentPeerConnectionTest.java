package org.crocushaven.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests connections to instances that fall silent without being closed. */
class SilentPeerConnectionTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(10);

    /** Time within which a change has to be in force. */
    private static final long CHANGE_MILLIS = 2_000;

    /** Time after which the answer to {@link #LATE} is given. */
    private static final long LATE_ANSWER_MILLIS = 1_500;

    private static final int AT_ONCE = 1;
    private static final int LATE = 2;
    private static final int NEVER = 3;

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final AtomicInteger arrived = new AtomicInteger();
    private final EventLoopGroup workers =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private TcpPeerTransport first;
    private TcpPeerTransport second;
    private SilenceableRelay relay;

    @BeforeEach
    void start() throws IOException {
        first = transport("first", 1);
        addresses.put("first", new InetSocketAddress("127.0.0.1", first.listen("127.0.0.1", 0)));
        second = transport("second", 1);
        relay = SilenceableRelay.to(second.listen("127.0.0.1", 0));
        addresses.put("second", relay.address());
    }

    @AfterEach
    void stop() throws IOException {
        first.close();
        second.close();
        relay.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private TcpPeerTransport transport(String name, long incarnation) {
        final TcpPeerTransport transport =
                TcpPeerTransport.create(
                        name,
                        incarnation,
                        workers,
                        instance -> Optional.ofNullable(addresses.get(instance)),
                        (peer, code, detail) -> {},
                        SystemNanoClock.INSTANCE);
        transport.registerHandler(Failure.class, (sender, message) -> answer(sender, message));
        return transport;
    }

    private CompletableFuture<? extends Message> answer(String sender, Failure message) {
        arrived.incrementAndGet();
        final CompletableFuture<Message> answer = new CompletableFuture<>();
        if (message.code() == AT_ONCE) {
            answer.complete(new Hello(sender, 1));
        } else if (message.code() == LATE) {
            workers.schedule(
                    () -> answer.complete(new Hello(sender, LATE)),
                    LATE_ANSWER_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        return answer;
    }

    private static Failure message(int code) {
        return new Failure(code, "UNKNOWN", "", -1);
    }

    private CompletableFuture<Message> request(int code, Duration timeout) {
        return first.request("second", message(code), timeout);
    }

    private boolean isAnswered() {
        try {
            request(AT_ONCE, REQUEST_TIMEOUT).get();
            return true;
        } catch (ExecutionException unanswered) {
            return false;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** Opens the connection without a request that goes unanswered, also where threads starve. */
    private void connect() throws Exception {
        request(AT_ONCE, CONNECT_TIMEOUT).get();
    }

    /** Returns the time until the condition holds, which is checked each 20 ms, or fails. */
    private static long millisUntil(BooleanSupplier condition) throws Exception {
        final long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            final long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(passed < 10_000, "does not hold after " + passed + " ms");
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void assertWithin(long boundMillis, long millis) {
        assertTrue(millis <= boundMillis, millis + " ms, more than " + boundMillis);
    }

    @Nested
    class AfterTheOpenConnectionFellSilent {
        @Test
        void requestsAreAnsweredAgainWithinTheTimeOfOneChange() throws Exception {
            millisUntil(SilentPeerConnectionTest.this::isAnswered);
            relay.silenceOpenConnections();

            assertWithin(CHANGE_MILLIS, millisUntil(SilentPeerConnectionTest.this::isAnswered));
        }

        @Test
        void oneWayMessagesArriveAgainWithinTheTimeOfOneChange() throws Exception {
            millisUntil(SilentPeerConnectionTest.this::isAnswered);
            relay.silenceOpenConnections();
            arrived.set(0);

            assertWithin(
                    CHANGE_MILLIS,
                    millisUntil(
                            () -> {
                                first.send("second", message(NEVER));
                                return arrived.get() > 0;
                            }));
        }

        @Test
        void requestToPeerThatStartedAgainIsAnsweredAtOnce() throws Exception {
            second.request("first", message(AT_ONCE), REQUEST_TIMEOUT).get();
            millisUntil(SilentPeerConnectionTest.this::isAnswered);
            relay.silenceOpenConnections();
            final TcpPeerTransport successor = transport("second", 2);

            successor.request("first", message(AT_ONCE), REQUEST_TIMEOUT).get();

            assertTrue(isAnswered(), "the connection to the process before is used");
            successor.close();
        }

        @Test
        void theSilentConnectionIsGivenUp() throws Exception {
            millisUntil(SilentPeerConnectionTest.this::isAnswered);
            relay.silenceOpenConnections();
            millisUntil(SilentPeerConnectionTest.this::isAnswered);

            millisUntil(() -> relay.openConnections() == 1);
        }
    }

    @Nested
    class AfterCut {
        @Test
        void requestsAreAnsweredWithinTheTimeOfOneChangeHoweverLongItLasted() throws Exception {
            for (final int cutMillis : new int[] {700, 1_900, 3_100}) {
                millisUntil(SilentPeerConnectionTest.this::isAnswered);
                relay.cut();
                final long startNanos = System.nanoTime();
                while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(cutMillis)) {
                    assertThrows(
                            ExecutionException.class,
                            () -> request(AT_ONCE, REQUEST_TIMEOUT).get());
                }
                relay.heal();

                assertWithin(CHANGE_MILLIS, millisUntil(SilentPeerConnectionTest.this::isAnswered));
            }
        }
    }

    @Nested
    class OnLiveConnection {
        @Test
        void requestThatIsAnsweredLateLeavesTheConnectionOfOthersInUse() throws Exception {
            connect();
            final CompletableFuture<Message> late = request(NEVER, REQUEST_TIMEOUT);
            while (!late.isDone()) {
                assertTrue(isAnswered());
            }

            assertTrue(isAnswered());
            assertEquals(1, relay.acceptedConnections());
        }

        @Test
        void lateAnswerArrivesAlthoughAnotherRequestWentUnanswered() throws Exception {
            connect();
            final CompletableFuture<Message> late = request(LATE, Duration.ofSeconds(5));
            assertThrows(ExecutionException.class, () -> request(NEVER, REQUEST_TIMEOUT).get());

            assertEquals(new Hello("first", LATE), late.get(5, TimeUnit.SECONDS));
        }
    }
}
