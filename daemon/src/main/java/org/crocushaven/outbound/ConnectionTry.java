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
import java.util.function.Consumer;

/** Opens a connection that carries nothing, to see what an address does with it. */
public final class ConnectionTry {
    private ConnectionTry() {}

    /** Opens a connection and closes it; passes on, on the event loop, what happened. */
    public static void open(
            EventLoop loop, InetSocketAddress address, int timeoutMillis, Consumer<Finding> then) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
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
        return isRefusal(opened.cause()) ? Finding.REFUSED : Finding.UNANSWERED;
    }

    /** Returns whether an address refused a connection, by the exception that ended its opening. */
    public static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
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
