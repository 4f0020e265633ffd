package org.crocushaven.outbound;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;

/**
 * Handles one connection to a backend server, which carries one request at a time.
 *
 * <p>The connection is closed instead of reused once data arrives that belongs to no request.
 */
public final class BackendChannel extends ChannelInboundHandlerAdapter {
    /** Keep-alive time, in seconds, when the backend server states none. */
    private static final int DEFAULT_KEEP_ALIVE_SECONDS = 2;

    private static final String KEEP_ALIVE = "keep-alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Consumer<BackendChannel> onReusable;
    private final AnswerOverhead overhead;
    private final AnswerDecoder decoder;
    private final long number;
    private final NanoClock clock;
    private final CarriedRequests carried;
    private Channel channel;
    private BackendAnswerListener listener;

    /** Listener whose answer is complete, until all bytes of that read have been looked at. */
    private BackendAnswerListener completed;

    private ForeignAnswers foreignAnswers;
    private boolean skippingForeignAnswer;
    private boolean informational;
    private boolean reusable;
    private boolean headReceived;
    private boolean answered;
    private boolean namesRequests;
    private long sends;
    private String lastIdentifier = "";
    private boolean unaskedBytesReported;
    private long idleSinceNanos;
    private long keepAliveNanos = TimeUnit.SECONDS.toNanos(DEFAULT_KEEP_ALIVE_SECONDS);

    /**
     * Creates the handler of a connection.
     *
     * @param number number of the connection in its pool
     * @param clock clock of the pool
     * @param overhead counts what is received
     * @param decoder decodes the answers
     * @param onReusable is called when the connection can carry another request
     */
    BackendChannel(
            long number,
            NanoClock clock,
            AnswerOverhead overhead,
            AnswerDecoder decoder,
            Consumer<BackendChannel> onReusable) {
        this.number = number;
        this.clock = clock;
        this.carried = new CarriedRequests(clock.nanoTime());
        this.overhead = overhead;
        this.decoder = decoder;
        this.onReusable = onReusable;
    }

    /** Returns whether an answer has been received on this connection. */
    public boolean hasAnswered() {
        return answered;
    }

    /** Returns which send on which connection the last one is. */
    public ConnectionUse use() {
        return new ConnectionUse(number, sends);
    }

    boolean isActive() {
        return channel != null && channel.isActive();
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Returns how long the connection may be idle before the backend server closes it. */
    long keepAliveNanos() {
        return keepAliveNanos;
    }

    /** Returns whether the request with the given identifier was sent on this connection before. */
    boolean hasCarried(String identifier) {
        return carried.contains(identifier);
    }

    /**
     * Sends a request; takes over the reference to it.
     *
     * @param identifier identifier of the request by which its answer is known
     */
    public void send(
            String identifier, FullHttpRequest request, BackendAnswerListener answerListener) {
        carried.add(identifier, clock.nanoTime());
        lastIdentifier = identifier;
        sends++;
        listener = answerListener;
        reusable = true;
        headReceived = false;
        overhead.begin();
        decoder.expectAnswer(request.method().equals(HttpMethod.HEAD));
        skippingForeignAnswer = false;
        foreignAnswers =
                new ForeignAnswers(
                        channel.eventLoop(),
                        () -> failAndClose("another request's answer too long"));
        channel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                failAtEnd("write failed");
                            }
                        });
    }

    /** Aborts the request in flight; the backend server sees the connection close. */
    public void abort() {
        listener = null;
        completed = null;
        close();
    }

    /**
     * Ends the request in flight, whose answer is decided by its head. The connection is reused if
     * the rest of the answer is short.
     */
    public void drain() {
        if (reusable) {
            listener = new DrainedAnswer(this);
        } else {
            abort();
        }
    }

    EventLoop eventLoop() {
        return channel.eventLoop();
    }

    /** Pauses or resumes reading of the backend server's answer. */
    public void setAutoRead(boolean autoRead) {
        channel.config().setAutoRead(autoRead);
    }

    /** Closes the connection. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                closeForUnaskedBytes();
            } else {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (completed != null) {
            release();
        } else if (listener == null && overhead.hasBytes()) {
            closeForUnaskedBytes();
        } else if (listener != null && overhead.isExceeded()) {
            failAndClose("too many bytes beside the answer's body");
        } else if (listener != null) {
            listener.readComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (foreignAnswers != null) {
            foreignAnswers.end();
        }
        failAtEnd(headReceived ? "closed during the answer" : "closed before the answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failAtEnd("connection failed: " + cause.getClass().getSimpleName());
        close();
    }

    /** Closes the connection since bytes came that answer nothing, and reports them once. */
    private void closeForUnaskedBytes() {
        if (answered && channel.isActive() && !unaskedBytesReported) {
            unaskedBytesReported = true;
            EventLine.of("unasked-bytes")
                    .with("backend", channel.remoteAddress())
                    .with("connection", number)
                    .with("sends", sends)
                    .with("last_request", lastIdentifier)
                    .with("status", decoder.unreadStatus())
                    .info();
        }
        close();
    }

    private void read(Object message) {
        if (message instanceof io.netty.handler.codec.DecoderResultProvider decoded
                && decoded.decoderResult().isFailure()) {
            failAndClose("unreadable answer");
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && listener != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        reusable &= HttpUtil.isKeepAlive(head) && isDelimited(head);
        readKeepAlive(head);
        final AnsweredRequest request = listener.answeredRequest(head);
        skippingForeignAnswer = !isAwaited(request);
        namesRequests |= request != AnsweredRequest.UNNAMED;
        if (skippingForeignAnswer) {
            skipForeignAnswer(head);
            return;
        }
        headReceived = true;
        reusable &= request == AnsweredRequest.OWN || listener.allowsReuseUnnamed();
        listener.head(head);
    }

    /**
     * Returns whether an answer is the one that is awaited. On a connection that has named requests
     * before, one that names none may be a late copy of any earlier answer.
     */
    private boolean isAwaited(AnsweredRequest request) {
        return request == AnsweredRequest.OWN
                || request == AnsweredRequest.UNNAMED
                        && (!namesRequests || listener.allowsReuseUnnamed());
    }

    private void skipForeignAnswer(HttpResponse head) {
        reusable = false;
        listener.answerSkipped(head);
        if (!isDelimited(head)) {
            failAndClose("another request's answer without length");
        } else if (!foreignAnswers.tryBegin()) {
            failAndClose("too many answers to other requests");
        }
    }

    private void readContent(HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        overhead.addBody(content.content().readableBytes());
        if (skippingForeignAnswer && !foreignAnswers.tryAdd(content.content().readableBytes())) {
            failAndClose("another request's answer too large");
            return;
        }
        if (skippingForeignAnswer && last) {
            foreignAnswers.end();
        }
        if (informational || skippingForeignAnswer) {
            informational &= !last;
            skippingForeignAnswer &= !last;
            return;
        }
        if (content.content().isReadable()) {
            listener.content(content.content());
        }
        if (last && listener != null) {
            finish();
        }
    }

    private void finish() {
        final BackendAnswerListener finished = listener;
        listener = null;
        overhead.begin();
        decoder.expectNoAnswer();
        answered = true;
        if (reusable && channel.isActive()) {
            completed = finished;
        } else {
            close();
            finished.complete();
        }
    }

    /**
     * Hands the connection back once all that was read with the answer has been looked at, or
     * closes it if that was more than the answer: what comes after it must not meet the next
     * request, which may be sent as soon as the answer is reported.
     */
    private void release() {
        final BackendAnswerListener finished = completed;
        completed = null;
        if (decoder.hasUnreadBytes()) {
            closeForUnaskedBytes();
        } else if (channel.isActive()) {
            idleSinceNanos = clock.nanoTime();
            channel.config().setAutoRead(true);
            onReusable.accept(this);
        }
        finished.complete();
    }

    private void failAtEnd(String reason) {
        if (listener != null) {
            listener.connectionEnded();
        }
        fail(reason);
    }

    private void failAndClose(String reason) {
        fail(reason);
        close();
    }

    private void fail(String reason) {
        final BackendAnswerListener failed = listener;
        listener = null;
        if (failed != null) {
            failed.failed(true, reason);
        }
    }

    private void readKeepAlive(HttpResponse head) {
        final String value = head.headers().get(KEEP_ALIVE);
        final int start = value == null ? -1 : value.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return;
        }
        int seconds = 0;
        for (int position = start + TIMEOUT_PARAMETER.length();
                position < value.length() && Character.isDigit(value.charAt(position));
                position++) {
            seconds = Math.min(3_600, seconds * 10 + value.charAt(position) - '0');
        }
        keepAliveNanos = TimeUnit.SECONDS.toNanos(seconds);
    }

    private static boolean isDelimited(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.status().code() == 204
                || head.status().code() == 304;
    }
}
