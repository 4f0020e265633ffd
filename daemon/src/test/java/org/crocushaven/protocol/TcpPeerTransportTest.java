package org.crocushaven.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.crocushaven.result.Execution;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TcpPeerTransportTest {
    private static final int REFUSED_CODE = -1;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final BlockingQueue<ResultCode> rejections = new LinkedBlockingQueue<>();
    private EventLoopGroup workers;
    private TcpPeerTransport first;
    private TcpPeerTransport second;
    private int secondPort;

    @BeforeEach
    void start() {
        workers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        first = transport("first");
        second = transport("second");
        second.registerHandler(
                Failure.class,
                (sender, message) -> {
                    if (message.code() == REFUSED_CODE) {
                        throw ResultException.of(ResultCode.NOT_LEADER, 3);
                    }
                    return CompletableFuture.completedFuture(new Hello(sender, message.code()));
                });
        addresses.put("first", new InetSocketAddress("127.0.0.1", first.listen("127.0.0.1", 0)));
        secondPort = second.listen("127.0.0.1", 0);
        addresses.put("second", new InetSocketAddress("127.0.0.1", secondPort));
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private TcpPeerTransport transport(String name) {
        return TcpPeerTransport.create(
                name,
                1,
                workers,
                instance -> Optional.ofNullable(addresses.get(instance)),
                (peer, code, detail) -> rejections.add(code),
                SystemNanoClock.INSTANCE);
    }

    /**
     * Returns a request that the second instance answers with a {@link Hello}, or with a failure if
     * the code is {@link #REFUSED_CODE}.
     */
    private static Failure requestWithCode(int failureCode) {
        return new Failure(failureCode, "UNKNOWN", "", -1);
    }

    @Nested
    class Requests {
        @Test
        void passTheSendersNameToTheHandler() throws Exception {
            final Message answer =
                    first.request("second", requestWithCode(7), TIMEOUT).get(5, TimeUnit.SECONDS);

            assertEquals(new Hello("first", 7), answer);
        }

        @Test
        void failWithTheHandlersFailure() {
            final ExecutionException thrown =
                    assertThrows(
                            ExecutionException.class,
                            () ->
                                    first.request("second", requestWithCode(REFUSED_CODE), TIMEOUT)
                                            .get(5, TimeUnit.SECONDS));

            assertEquals(ResultCode.NOT_LEADER, ((ResultException) thrown.getCause()).code());
        }

        @Test
        void toTheSameInstanceUseNoConnection() throws Exception {
            final Message answer =
                    second.request("second", requestWithCode(9), TIMEOUT).get(5, TimeUnit.SECONDS);

            assertEquals(new Hello("second", 9), answer);
            assertEquals(0, second.sentBytes());
        }

        @Test
        void toUnknownInstancesFailAsNotRun() {
            final ExecutionException thrown =
                    assertThrows(
                            ExecutionException.class,
                            () -> first.request("third", requestWithCode(1), TIMEOUT).get());

            final ResultException failure =
                    assertInstanceOf(ResultException.class, thrown.getCause());
            assertEquals(ResultCode.PEER_UNREACHABLE, failure.code());
            assertEquals(Execution.NOT_RUN, failure.execution());
        }
    }

    @Nested
    class InvalidFrames {
        @Test
        void withAnotherVersionCloseTheConnection() throws Exception {
            assertRejected(ResultCode.PROTOCOL_VERSION_UNSUPPORTED, 12, 9, 0, 1);
        }

        @Test
        void withAnUnknownTypeCloseTheConnection() throws Exception {
            assertRejected(ResultCode.MESSAGE_TYPE_UNKNOWN, 12, 1, 0, 65_535);
        }

        @Test
        void aboveTheMaximumLengthCloseTheConnection() throws Exception {
            assertRejected(ResultCode.FRAME_TOO_LARGE, FrameCodec.MAXIMUM_FRAME_BYTES + 1, 1, 0, 1);
        }

        @Test
        void belowTheHeaderLengthCloseTheConnection() throws Exception {
            assertRejected(ResultCode.FRAME_MALFORMED, 3, 1, 0, 1);
        }

        @Test
        void withAnEmptyPayloadCloseTheConnection() throws Exception {
            assertRejected(ResultCode.FRAME_MALFORMED, 12, 1, 0, 1);
        }

        @Test
        void beforeHelloCloseTheConnection() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", secondPort)) {
                final byte[] payload = MessageCodec.encode(requestWithCode(1));
                writeHeader(socket, 12 + payload.length, 1, 0, MessageType.FAILURE.number());
                socket.getOutputStream().write(payload);

                assertEquals(-1, socket.getInputStream().read());
            }
            assertEquals(ResultCode.FRAME_MALFORMED, rejections.poll(5, TimeUnit.SECONDS));
        }

        private void assertRejected(ResultCode code, int length, int version, int kind, int type)
                throws Exception {
            try (Socket socket = new Socket("127.0.0.1", secondPort)) {
                writeHeader(socket, length, version, kind, type);

                assertEquals(-1, socket.getInputStream().read());
            }
            assertEquals(code, rejections.poll(5, TimeUnit.SECONDS));
            assertTrue(first.request("second", requestWithCode(1), TIMEOUT).get() instanceof Hello);
        }

        private void writeHeader(Socket socket, int length, int version, int kind, int type)
                throws IOException {
            final ByteArrayOutputStream header = new ByteArrayOutputStream();
            final DataOutputStream out = new DataOutputStream(header);
            out.writeInt(length);
            out.writeByte(version);
            out.writeByte(kind);
            out.writeShort(type);
            out.writeLong(1);
            socket.getOutputStream().write(header.toByteArray());
        }
    }
}
