package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Set;
import org.crocushaven.outbound.BackendAnswerListener;
import org.crocushaven.outbound.BackendChannel;

/** Sends a request to one backend server and classifies the answer. */
final class BackendAttempt implements BackendAnswerListener {
    private static final int MISDIRECTED = 421;

    private final RequestForwarding forwarding;
    private final Target target;
    private final int number;
    private BackendChannel channel;
    private Reading reading = Reading.HEAD;
    private HttpResponseStatus status;
    private HttpHeaders headers;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    BackendAttempt(RequestForwarding forwarding, Target target, int number) {
        this.forwarding = forwarding;
        this.target = target;
        this.number = number;
    }

    Target target() {
        return target;
    }

    int number() {
        return number;
    }

    HttpResponseStatus status() {
        return status;
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Returns the complete body and transfers its reference to the caller. */
    ByteBuf body() {
        return body;
    }

    void opened(BackendChannel opened) {
        channel = opened;
    }

    /** Closes the connection, which makes the backend server stop working on the request. */
    void abort() {
        if (channel != null) {
            channel.abort();
        }
    }

    void setReading(boolean isReading) {
        if (channel != null) {
            channel.setReading(isReading);
        }
    }

    @Override
    public boolean head(HttpResponse head) {
        final BackendAnswerHead decoded = forwarding.dialect().decodeAnswer(head);
        final boolean foreign =
                decoded.requestId()
                        .filter(id -> !id.equals(forwarding.request().requestId()))
                        .isPresent();
        if (foreign) {
            forwarding.foreignAnswer(this);
            return false;
        }
        status = head.status();
        headers = ForwardableHeaders.copy(head.headers(), Set.of());
        final boolean success = status.codeClass() == HttpStatusClass.SUCCESS;
        if (decoded.notExecuted() || status.code() == MISDIRECTED) {
            reading = Reading.NOT_RUN;
        } else if (success && !decoded.signed()) {
            reading = Reading.UNUSABLE;
        } else if (success && forwarding.isStream()) {
            reading = Reading.EVENTS;
        } else {
            reading = Reading.WHOLE;
            body = Unpooled.buffer();
        }
        return true;
    }

    @Override
    public void content(ByteBuf data) {
        if (reading == Reading.EVENTS) {
            forwarding.eventBytes(this, data);
        } else if (reading == Reading.WHOLE) {
            body.writeBytes(data);
        }
    }

    @Override
    public void arrived() {
        if (reading == Reading.EVENTS) {
            forwarding.flush();
        }
    }

    @Override
    public void complete() {
        switch (reading) {
            case NOT_RUN -> forwarding.notRun(this);
            case EVENTS -> forwarding.streamEnded(this);
            case WHOLE -> forwarding.wholeAnswer(this);
            default -> forwarding.broken(this, true, "unsigned answer");
        }
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        forwarding.broken(this, mayHaveRun && reading != Reading.NOT_RUN, reason);
    }

    private enum Reading {
        HEAD,
        NOT_RUN,
        UNUSABLE,
        EVENTS,
        WHOLE
    }
}
