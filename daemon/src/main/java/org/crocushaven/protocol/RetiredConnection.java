package org.crocushaven.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that was replaced, once no request waits for an answer on it.
 *
 * <p>It is reset rather than closed, so that what the peer has not received is not delivered after
 * what is sent on the connection that replaced it.
 */
final class RetiredConnection {
    private static final long CHECK_MILLIS = 100;

    private final Channel channel;
    private final PeerConnection connection;
    private final PendingRequests pending;

    private RetiredConnection(Channel channel, PeerConnection connection, PendingRequests pending) {
        this.channel = channel;
        this.connection = connection;
        this.pending = pending;
    }

    /** Closes the channel when no request is pending on it; requests end by their time limits. */
    static void closeWhenUnused(
            Channel channel, PeerConnection connection, PendingRequests pending) {
        new RetiredConnection(channel, connection, pending).closeOrWait();
    }

    private void closeOrWait() {
        if (channel.isActive() && pending.has(connection)) {
            channel.eventLoop().schedule(this::closeOrWait, CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }
}
