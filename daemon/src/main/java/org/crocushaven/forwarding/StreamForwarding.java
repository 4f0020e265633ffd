package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import org.crocushaven.result.ResultCode;

/** Forwards the events of one stream to its client. Used on the event loop only. */
final class StreamForwarding {
    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final ClientAnswer client;
    private final AttemptSuccession succession;
    private final AttemptFailures failures;
    private final RequestEnd end;
    private final PauseMeter pauses;

    StreamForwarding(
            ForwardedRequest served,
            ClientAnswer client,
            AttemptSuccession succession,
            AttemptFailures failures,
            RequestEnd end,
            PauseMeter pauses) {
        this.served = served;
        this.environment = served.environment();
        this.client = client;
        this.succession = succession;
        this.failures = failures;
        this.end = end;
        this.pauses = pauses;
    }

    /** Handles bytes of an event stream. */
    void dataReceived(BackendAttempt from, ByteBuf data) {
        if (served.isStale(from)) {
            return;
        }
        final ByteBuf events = succession.splitterOf(from).add(data);
        if (events == null) {
            return;
        }
        succession.eventsReceived(from);
        served.guard().recordEvents(succession.splitter().eventCount() - from.eventsBefore());
        pauses.recordEvent(environment.nowNanos());
        succession.recordProgress();
        if (!served.isStreamStarted()) {
            firstEventReceived(from);
        }
        client.sendEvents(events);
        if (!client.isWritable()) {
            clientWritabilityChanged(false);
        }
    }

    private void firstEventReceived(BackendAttempt from) {
        served.recordStreamStarted(from.status(), from.headers());
        served.recordFirstByte();
        final String backend = from.target().backend().backend();
        served.continuation().firstEventReceived(from.target().backend());
        environment.health().recordSuccess(backend, served.firstByteNanos());
        environment.promptReaders().recordRead(served.request(), backend);
        client.startStream(from.status(), from.headers());
    }

    /** Pauses the backend server's answer while the client does not read. */
    void clientWritabilityChanged(boolean writable) {
        if (!served.isDone()) {
            succession.setReading(writable);
        }
    }

    /**
     * Fails an attempt when its stream has an event that is too long or missing, or for which the
     * gateway has no memory left.
     */
    void check(BackendAttempt from) {
        if (served.isStale(from)) {
            return;
        }
        final EventSplitter splitter = succession.splitterOf(from);
        if (splitter.isBroken()) {
            from.abort();
            failures.attemptFailed(from, true, "event missing, too long or repeated without end");
        } else if (!from.tryHold(splitter.bufferBytes())) {
            from.abort();
            failures.attemptFailed(from, true, "no memory for a long event");
        }
    }

    /** Handles the end of a stream. */
    void ended(BackendAttempt from) {
        if (served.isStale(from)) {
            return;
        }
        final EventSplitter splitter = succession.splitterOf(from);
        if (splitter.hasPartialEvent() || splitter.isBroken()) {
            failures.attemptFailed(from, true, "stream ended within an event");
            return;
        }
        final boolean broughtNone = splitter.eventCount() == from.eventsBefore();
        if (from == served.attempts().replacement() || served.isStreamStarted() && broughtNone) {
            failures.attemptFailed(from, true, "stream ended without an event");
            return;
        }
        if (!served.isStreamStarted() && from.endsWithConnection()) {
            failures.connectionEnded(from);
            failures.attemptFailed(from, true, "stream ended without an event");
            return;
        }
        if (!served.isStreamStarted()) {
            served.recordStreamStarted(from.status(), from.headers());
            client.startStream(from.status(), from.headers());
        }
        failures.answerEnded(from);
        client.endStream();
        end.finish(ResultCode.OK, from.status().code(), "served");
    }
}
