package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Set;
import org.crocushaven.outbound.AnswerMemory;
import org.crocushaven.outbound.AnsweredRequest;
import org.crocushaven.outbound.BackendAnswerListener;
import org.crocushaven.outbound.BackendChannel;

/** Sends a request to one backend server and classifies the answer. */
final class BackendAttempt implements BackendAnswerListener {
    private static final int MISDIRECTED = 421;

    private final RequestForwarding forwarding;
    private final Target target;
    private final int number;
    private final long eventsBefore;
    private BackendChannel channel;
    private long sentNanos;
    private boolean delimited;
    private AnswerKind answerKind = AnswerKind.AWAITING_HEAD;
    private HttpResponseStatus status;
    private HttpHeaders headers;
    private AnswerMemory.Share memory;
    private AnswerBody body;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param eventsBefore number of events that the request had before
     */
    BackendAttempt(RequestForwarding forwarding, Target target, int number, long eventsBefore) {
        this.forwarding = forwarding;
        this.target = target;
        this.number = number;
        this.eventsBefore = eventsBefore;
    }

    Target target() {
        return target;
    }

    int number() {
        return number;
    }

    long eventsBefore() {
        return eventsBefore;
    }

    /** Returns whether a complete answer may be one that the backend server broke off. */
    boolean endsWithConnection() {
        return !delimited;
    }

    HttpResponseStatus status() {
        return status;
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Returns the complete body and transfers its reference to the caller. */
    ByteBuf body() {
        return body.bytes();
    }

    /** Records that the request is sent now, on the given connection. */
    void sending(BackendChannel opened, long nowNanos) {
        channel = opened;
        sentNanos = nowNanos;
    }

    /** Returns when the request was sent; to be called only once it was. */
    long sentNanos() {
        return sentNanos;
    }

    /** Returns whether the request was sent, so that it may have reached the backend server. */
    boolean wasSent() {
        return channel != null;
    }

    /** Returns whether the request went out on a connection that has answered another before. */
    boolean isOnUsedConnection() {
        return channel != null && channel.hasAnswered();
    }

    /** Closes the connection, which makes the backend server stop working on the request. */
    void abort() {
        if (channel != null) {
            channel.abort();
        }
        releaseMemory();
    }

    /**
     * Changes the memory, in bytes, of the stream's buffer; returns false if there is none left.
     */
    boolean tryHold(long bytes) {
        return memory.tryResize(bytes);
    }

    private void releaseMemory() {
        if (memory != null) {
            memory.release();
            body = null;
        }
    }

    void setAutoRead(boolean autoRead) {
        if (channel != null) {
            channel.setAutoRead(autoRead);
        }
    }

    @Override
    public AnsweredRequest answeredRequest(HttpResponse head) {
        return forwarding.answeredRequest(head);
    }

    @Override
    public void answerSkipped(HttpResponse head) {
        forwarding.heard(this);
        forwarding.foreignAnswerReceived(this, head, channel.use());
    }

    @Override
    public void head(HttpResponse head) {
        forwarding.heard(this);
        final BackendAnswerHead decoded = forwarding.dialect().decodeAnswer(head);
        status = head.status();
        delimited = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        headers = ForwardableHeaders.copy(head.headers(), Set.of());
        final boolean success = status.codeClass() == HttpStatusClass.SUCCESS;
        if (status.code() != MISDIRECTED) {
            forwarding.noticesReceived(this, decoded);
        }
        if (decoded.notRun() || status.code() == MISDIRECTED) {
            channel.drain();
            forwarding.requestNotRun(this);
        } else if (success && !decoded.signed()) {
            abort();
            forwarding.handleFailure(this, true, "unsigned answer");
        } else if (success && !forwarding.mayGoOnWith(status, headers)) {
            abort();
            forwarding.handleFailure(this, true, "answer is not a stream");
        } else if (success && forwarding.isStream()) {
            answerKind = AnswerKind.EVENT_STREAM;
            memory = forwarding.newAnswerShare();
            forwarding.streamAnswered(this);
        } else {
            answerKind = AnswerKind.COMPLETE_BODY;
            memory = forwarding.newAnswerShare();
            body = new AnswerBody(memory);
        }
    }

    @Override
    public void content(ByteBuf data) {
        forwarding.heard(this);
        if (answerKind == AnswerKind.EVENT_STREAM) {
            forwarding.streamDataReceived(this, data);
        } else if (answerKind == AnswerKind.COMPLETE_BODY && !body.tryAdd(data)) {
            abort();
            forwarding.handleFailure(this, true, "answer too large");
        }
    }

    @Override
    public void readComplete() {
        if (answerKind == AnswerKind.EVENT_STREAM) {
            forwarding.checkStream(this);
        }
    }

    @Override
    public void complete() {
        switch (answerKind) {
            case EVENT_STREAM -> forwarding.streamEnded(this);
            case COMPLETE_BODY -> forwarding.completeAnswerReceived(this);
            default -> throw new IllegalStateException("an answer without a head is complete");
        }
    }

    @Override
    public void connectionEnded() {
        forwarding.connectionEnded(this);
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        releaseMemory();
        forwarding.handleFailure(this, mayHaveRun, reason);
    }

    private enum AnswerKind {
        AWAITING_HEAD,
        EVENT_STREAM,
        COMPLETE_BODY
    }
}
