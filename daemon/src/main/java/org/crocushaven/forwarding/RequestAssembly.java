package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.security.MessageDigest;
import java.util.Optional;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Assembles the requests of one connection from their heads and the pieces of their bodies. Used on
 * the event loop only.
 */
final class RequestAssembly {
    private final LimitsInForce limits;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private final MessageDigest digest = RequestBody.newDigest();

    RequestAssembly(LimitsInForce limits) {
        this.limits = limits;
    }

    /** Returns whether a request has begun and is not whole yet. */
    boolean isUnderWay() {
        return head != null;
    }

    /**
     * Begins a request.
     *
     * @throws ResultException when its head cannot be read
     */
    void begin(HttpRequest request) {
        requireDecoded(request.decoderResult());
        head = request;
        body = Unpooled.EMPTY_BUFFER;
        digest.reset();
    }

    /**
     * Adds a piece of the body and returns the request once it is whole.
     *
     * @throws ResultException when the piece cannot be read or the body is too large
     */
    Optional<ReceivedRequest> add(HttpContent content) {
        requireDecoded(content.decoderResult());
        append(content.content());
        if (!(content instanceof LastHttpContent)) {
            return Optional.empty();
        }
        final ReceivedRequest received =
                new ReceivedRequest(head, new RequestBody(body, digest.digest()));
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        return Optional.of(received);
    }

    private void append(ByteBuf data) {
        if (!data.isReadable()) {
            return;
        }
        final int maximumBytes = limits.ofRequest().maximumBodyBytes();
        if (body.readableBytes() + data.readableBytes() > maximumBytes) {
            throw ResultException.of(ResultCode.BODY_TOO_LARGE, maximumBytes);
        }
        if (body == Unpooled.EMPTY_BUFFER) {
            body = Unpooled.buffer(data.readableBytes());
        }
        digest.update(data.nioBuffer());
        body.writeBytes(data);
    }

    private void requireDecoded(DecoderResult result) {
        if (!result.isFailure()) {
            return;
        }
        if (result.cause() instanceof TooLongHttpHeaderException
                || result.cause() instanceof TooLongHttpLineException) {
            throw ResultException.of(
                    ResultCode.HEADERS_TOO_LARGE, limits.ofRequest().maximumHeaderBytes());
        }
        throw ResultException.of(
                ResultCode.MALFORMED_REQUEST, result.cause().getClass().getSimpleName());
    }
}
