package org.crocushaven.outbound;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether an address refuses connections, which shows that the process there has ended,
 * or that the way to it is cut.
 *
 * <p>No request is sent. A time-out says nothing: the process may be frozen or cut off.
 */
public final class RefusalCheck {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Time before the second try: connections of a process that ends may close first. */
    private static final long SECOND_TRY_MILLIS = 50;

    private final EventLoop loop;

    private RefusalCheck(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns a check that runs on an event loop. */
    public static RefusalCheck on(EventLoop loop) {
        return new RefusalCheck(loop);
    }

    /** Opens a connection, and a second one if the first succeeds; passes on what happened. */
    public void check(InetSocketAddress address, Consumer<Finding> then) {
        connect(
                address,
                first -> {
                    if (first == Finding.REACHED) {
                        loop.schedule(
                                () -> connect(address, then),
                                SECOND_TRY_MILLIS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        then.accept(first);
                    }
                });
    }

    private void connect(InetSocketAddress address, Consumer<Finding> then) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address)
                .addListener(
                        (ChannelFuture opened) -> {
                            opened.channel().close();
                            then.accept(findingOf(opened));
                        });
    }

    private static Finding findingOf(ChannelFuture opened) {
        if (opened.isSuccess()) {
            return Finding.REACHED;
        }
        final Throwable failure = opened.cause();
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException)
                ? Finding.REFUSED
                : Finding.UNANSWERED;
    }

    /** What an address did with a connection. */
    public enum Finding {
        /** It took the connection. */
        REACHED,
        /** It refused the connection. */
        REFUSED,
        /** Nothing came back in time. */
        UNANSWERED
    }
}
