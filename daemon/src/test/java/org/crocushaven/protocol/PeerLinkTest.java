package org.crocushaven.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Test;

/** Tests attempts to connect to one instance whose ends the test decides. */
class PeerLinkTest {
    private static final String PEER = "peer";
    private static final Hello HELLO = new Hello("self", 1);
    private static final Failure MESSAGE = new Failure(1, "UNKNOWN", "", -1);
    private static final long FIRST_INCARNATION = 1;

    private final List<Attempt> attempts = new ArrayList<>();
    private final PendingRequests pending = new PendingRequests();
    private long nowNanos;
    private final PeerLink link =
            new PeerLink(
                    PEER,
                    new HeldBootstrap(),
                    instance -> Optional.of(InetSocketAddress.createUnresolved(PEER, 1)),
                    HELLO,
                    pending,
                    () -> nowNanos);

    private CompletableFuture<Message> request() {
        final CompletableFuture<Message> answer = new CompletableFuture<>();
        link.request(MESSAGE, answer);
        return answer;
    }

    /** Connects, and lets a request go unanswered, so that a replacement is tried. */
    private Attempt beginReplacement() {
        link.peerGreeted(FIRST_INCARNATION);
        final CompletableFuture<Message> unanswered = request();
        nowNanos++;
        attempts.get(0).succeed();
        unanswered.completeExceptionally(ResultException.of(ResultCode.PEER_TIMEOUT, PEER, 1));
        return attempts.get(1);
    }

    /** Guards against a message dropped as undeliverable while its own connection is opened. */
    @Test
    void failedReplacementLeavesRequestsToTheAttemptThatTheyBegan() {
        final Attempt replacement = beginReplacement();
        link.peerGreeted(FIRST_INCARNATION + 1);
        final CompletableFuture<Message> answer = request();

        replacement.fail();
        assertFalse(answer.isDone());
        attempts.get(2).succeed();

        assertEquals(List.of(HELLO, MESSAGE), attempts.get(2).sent());
    }

    @Test
    void replacementThatSucceedsFirstSendsTheRequestsThatWait() {
        final Attempt replacement = beginReplacement();
        link.peerGreeted(FIRST_INCARNATION + 1);
        request();

        replacement.succeed();

        assertEquals(List.of(HELLO, MESSAGE), replacement.sent());
    }

    @Test
    void failedReplacementLeavesTheConnectionInUse() {
        beginReplacement().fail();

        request();

        assertEquals(List.of(HELLO, MESSAGE, MESSAGE), attempts.get(0).sent());
    }

    /** Leaves the end of each attempt to the test. */
    private final class HeldBootstrap extends Bootstrap {
        @Override
        public ChannelFuture connect(SocketAddress address) {
            final Attempt attempt = new Attempt();
            attempts.add(attempt);
            return attempt.end;
        }
    }

    /** One attempt to connect. */
    private final class Attempt {
        private final EmbeddedChannel channel =
                new EmbeddedChannel(
                        PeerConnection.opened(
                                new HandlerRegistry(),
                                pending,
                                (peer, code, detail) -> {},
                                (instance, incarnation) -> {},
                                () -> nowNanos,
                                PEER));
        private final ChannelPromise end =
                new DefaultChannelPromise(channel, ImmediateEventExecutor.INSTANCE);

        void succeed() {
            end.setSuccess();
        }

        void fail() {
            end.setFailure(new IllegalStateException("refused"));
        }

        /** Returns the messages that were sent on the connection. */
        List<Message> sent() {
            final List<Message> messages = new ArrayList<>();
            Frame next = channel.readOutbound();
            while (next != null) {
                messages.add(next.message());
                next = channel.readOutbound();
            }
            return messages;
        }
    }
}
