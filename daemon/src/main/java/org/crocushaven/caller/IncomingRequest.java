package org.crocushaven.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Collects the body of a request whose head was accepted. Used on one event loop only. */
final class IncomingRequest {
    private static final int INITIAL_BODY_BYTES = 4 << 10;
    private static final byte[] NO_BODY = new byte[0];

    private final CallerServer server;
    private final String requestId;
    private final RequestHead head;
    private final long arrivalNanos;
    private final int declaredBytes;
    private byte[] body = NO_BODY;
    private int receivedBytes;
    private long reservedBytes;

    private IncomingRequest(
            CallerServer server,
            String requestId,
            RequestHead head,
            long arrivalNanos,
            int declaredBytes) {
        this.server = server;
        this.requestId = requestId;
        this.head = head;
        this.arrivalNanos = arrivalNanos;
        this.declaredBytes = declaredBytes;
    }

    /**
     * Parses the head of a request and checks the declared length of the body.
     *
     * @throws ResultException if the request is refused
     */
    static IncomingRequest of(
            CallerServer server, String requestId, HttpRequest request, long arrivalNanos) {
        final int maximum = server.environment().limits().maximumBodyBytes();
        final RequestHead head =
                RequestHead.parse(request, server.environment().limits().defaultDeadlineMillis());
        final long declared = HttpUtil.getContentLength(request, 0L);
        if (declared > maximum) {
            throw ResultException.of(ResultCode.BODY_TOO_LARGE, maximum);
        }
        return new IncomingRequest(server, requestId, head, arrivalNanos, (int) declared);
    }

    /**
     * Appends a part of the body.
     *
     * @throws ResultException if the body is too large or all bodies together exceed the memory
     *     budget
     */
    void append(ByteBuf content) {
        final int added = content.readableBytes();
        final int maximum = server.environment().limits().maximumBodyBytes();
        if (added > maximum - receivedBytes) {
            throw ResultException.of(ResultCode.BODY_TOO_LARGE, maximum);
        }
        if (body.length < receivedBytes + added) {
            grow(Math.min(maximum, Math.max(receivedBytes + added, 2 * body.length)));
        }
        content.readBytes(body, receivedBytes, added);
        receivedBytes += added;
    }

    /** Releases the memory reserved for the body. */
    void release() {
        server.releaseBodyBytes(reservedBytes);
        reservedBytes = 0;
        body = NO_BODY;
    }

    /**
     * Parses the complete request and passes it to the handler, or answers with the model list.
     *
     * @throws ResultException if the request is refused
     */
    void dispatch(CallerResponse response) {
        final byte[] completeBody =
                body.length == receivedBytes ? body : Arrays.copyOf(body, receivedBytes);
        body = NO_BODY;
        switch (head.target().route()) {
            case MODELS -> sendModelList(response);
            case SERVICE ->
                    server.environment().handler().handle(toServiceRequest(completeBody), response);
            default ->
                    server.environment()
                            .handler()
                            .handle(toGenerationRequest(completeBody), response);
        }
    }

    /**
     * Grows the buffer to the given size or the initial size, whichever is larger. The initial size
     * is the declared length, but at most {@link #INITIAL_BODY_BYTES}.
     */
    private void grow(int size) {
        final int larger = Math.max(size, Math.min(declaredBytes, INITIAL_BODY_BYTES));
        if (!server.reserveBodyBytes(larger - body.length)) {
            throw ResultException.of(ResultCode.QUEUE_FULL, "request bodies");
        }
        reservedBytes += larger - body.length;
        body = Arrays.copyOf(body, larger);
    }

    private void sendModelList(CallerResponse response) {
        final byte[] answer =
                ModelList.encode(server.environment().models().models(head.keyHash()))
                        .getBytes(StandardCharsets.UTF_8);
        response.begin(
                200,
                Map.of(
                        "content-type", List.of("application/json"),
                        "content-length", List.of(Integer.toString(answer.length))));
        response.write(answer);
        response.end();
    }

    private CallerRequest toServiceRequest(byte[] completeBody) {
        return new CallerRequest(
                requestId,
                CallerRequest.Kind.PLAIN,
                head.target().service(),
                head.method(),
                head.target().path(),
                head.headers(),
                completeBody,
                false,
                0,
                0,
                deadlineNanos(),
                head.urgency(),
                head.idempotencyKey(),
                head.keyHash());
    }

    private CallerRequest toGenerationRequest(byte[] completeBody) {
        final GenerationBody parsed = GenerationBody.parse(head.target().route(), completeBody);
        return new CallerRequest(
                requestId,
                CallerRequest.Kind.ENGINE,
                parsed.model(),
                head.method(),
                head.target().path(),
                head.headers(),
                parsed.body(),
                parsed.stream(),
                server.environment().promptTokens().estimate(parsed.promptBytes()),
                parsed.maximumOutputTokens(),
                deadlineNanos(),
                head.urgency(),
                head.idempotencyKey(),
                head.keyHash());
    }

    private long deadlineNanos() {
        return arrivalNanos + TimeUnit.MILLISECONDS.toNanos(head.deadlineMillis());
    }
}
