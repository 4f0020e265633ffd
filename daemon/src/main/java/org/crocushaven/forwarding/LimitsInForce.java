package org.crocushaven.forwarding;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Supplier;
import org.crocushaven.ingress.IngressLimits;

/**
 * Keeps a connection to the limits of the configuration in force. A request that has begun keeps
 * those with which it began.
 */
final class LimitsInForce extends ChannelInboundHandlerAdapter {
    private final Supplier<IngressLimits> source;
    private IngressLimits ofRequest;
    private StrictRequestDecoder decoder;

    private LimitsInForce(Supplier<IngressLimits> source) {
        this.source = source;
        this.ofRequest = source.get();
        this.decoder = new StrictRequestDecoder(ofRequest);
    }

    /** Returns the limits of a new connection, which the source supplies from now on. */
    static LimitsInForce of(Supplier<IngressLimits> source) {
        return new LimitsInForce(source);
    }

    /** Returns the decoder, which must follow this handler in the pipeline. */
    StrictRequestDecoder decoder() {
        return decoder;
    }

    /**
     * Returns the time, in milliseconds, after which an idle connection is closed. A lower one
     * holds from the next request on, because the client may still rely on the earlier one.
     */
    long idleTimeoutMillis() {
        return Math.max(ofRequest.idleTimeoutMillis(), source.get().idleTimeoutMillis());
    }

    /** Returns the limits of the request that is being received, or of the last one. */
    IngressLimits ofRequest() {
        return ofRequest;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        final IngressLimits now = source.get();
        if (!now.equals(ofRequest) && decoder.isBetweenRequests()) {
            final StrictRequestDecoder next = new StrictRequestDecoder(now);
            context.pipeline().replace(decoder, null, next);
            decoder = next;
            ofRequest = now;
        }
        context.fireChannelRead(message);
    }
}
