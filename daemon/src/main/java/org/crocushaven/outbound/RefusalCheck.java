package org.crocushaven.outbound;

import io.netty.channel.EventLoop;
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
    public void check(InetSocketAddress address, Consumer<ConnectionTry.Finding> then) {
        connect(
                address,
                first -> {
                    if (first == ConnectionTry.Finding.REACHED) {
                        loop.schedule(
                                () -> connect(address, then),
                                SECOND_TRY_MILLIS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        then.accept(first);
                    }
                });
    }

    private void connect(InetSocketAddress address, Consumer<ConnectionTry.Finding> then) {
        ConnectionTry.open(loop, address, CONNECT_TIMEOUT_MILLIS, then);
    }
}
