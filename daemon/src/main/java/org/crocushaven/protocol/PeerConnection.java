package org.crocushaven.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.concurrent.CompletableFuture;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Dispatches the frames received on one connection to or from another instance.
 *
 * <p>The first frame on an accepted connection must be a {@link Hello}. Sent as a request it asks
 * whether the connection still leads to the peer; software that does not know this answers with a
 * failure. A frame that cannot be decoded closes this connection and fails the requests pending on
 * it; other connections are not affected.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Frame> {
    private final HandlerRegistry handlers;
    private final PendingRequests pending;
    private final ProtocolListener listener;
    private final PeerObserver observer;
    private final NanoClock clock;
    private final long openedNanos;
    private String peer;
    private boolean peerIdentified;

    /** Time at which bytes last arrived, or at which the connection was opened. */
    private volatile long receivedNanos;

    private PeerConnection(
            HandlerRegistry handlers,
            PendingRequests pending,
            ProtocolListener listener,
            PeerObserver observer,
            NanoClock clock,
            String peer,
            boolean peerIdentified) {
        this.handlers = handlers;
        this.pending = pending;
        this.listener = listener;
        this.observer = observer;
        this.clock = clock;
        this.openedNanos = clock.nanoTime();
        this.receivedNanos = openedNanos;
        this.peer = peer;
        this.peerIdentified = peerIdentified;
    }

    /** Returns the handler for a connection that this instance opened. */
    static PeerConnection opened(
            HandlerRegistry handlers,
            PendingRequests pending,
            ProtocolListener listener,
            PeerObserver observer,
            NanoClock clock,
            String peer) {
        return new PeerConnection(handlers, pending, listener, observer, clock, peer, true);
    }

    /** Returns the handler for a connection that a peer opened. */
    static PeerConnection accepted(
            HandlerRegistry handlers,
            PendingRequests pending,
            ProtocolListener listener,
            PeerObserver observer,
            NanoClock clock) {
        return new PeerConnection(handlers, pending, listener, observer, clock, "unknown", false);
    }

    /** Returns the time at which the connection was opened. */
    long openedNanos() {
        return openedNanos;
    }

    /** Returns whether bytes have arrived. */
    boolean hasReceived() {
        return receivedNanos != openedNanos;
    }

    /** Returns the time at which bytes last arrived, or at which the connection was opened. */
    long receivedNanos() {
        return receivedNanos;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        receivedNanos = clock.nanoTime();
        context.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.kind() == FrameKind.ONE_WAY && frame.message() instanceof Hello hello) {
            peer = hello.instance();
            peerIdentified = true;
            observer.greeted(peer, hello.incarnation());
            return;
        }
        if (!peerIdentified) {
            throw ResultException.of(ResultCode.FRAME_MALFORMED, "frame received before Hello");
        }
        if (frame.kind() == FrameKind.REQUEST && frame.message() instanceof Hello probe) {
            context.writeAndFlush(new Frame(FrameKind.ANSWER, frame.correlation(), probe));
        } else if (frame.kind() == FrameKind.ANSWER) {
            pending.complete(this, frame.correlation(), frame.message());
        } else {
            dispatch(context.channel(), frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pending.failRequests(this, peer);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable thrown) {
        final Throwable cause =
                thrown instanceof DecoderException && thrown.getCause() != null
                        ? thrown.getCause()
                        : thrown;
        if (cause instanceof ResultException failure) {
            final String name =
                    peerIdentified ? peer : String.valueOf(context.channel().remoteAddress());
            listener.onInvalidFrame(name, failure.code(), failure.getMessage());
        }
        context.close();
    }

    private void dispatch(Channel channel, Frame frame) {
        CompletableFuture<? extends Message> answer;
        try {
            answer = handlers.dispatch(peer, frame.message());
        } catch (RuntimeException failure) {
            answer = CompletableFuture.failedFuture(failure);
        }
        if (frame.kind() != FrameKind.REQUEST) {
            return;
        }
        if (answer == null) {
            answer =
                    CompletableFuture.failedFuture(
                            ResultException.of(ResultCode.FRAME_MALFORMED, "no answer exists"));
        }
        answer.whenComplete(
                (message, failure) ->
                        channel.writeAndFlush(
                                new Frame(
                                        FrameKind.ANSWER,
                                        frame.correlation(),
                                        failure == null ? message : Failures.toMessage(failure))));
    }
}
