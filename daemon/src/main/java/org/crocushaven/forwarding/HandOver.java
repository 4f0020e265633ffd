package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.fleet.Relay;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.outbound.AnswerMemory;
import org.crocushaven.outbound.AnsweredRequest;
import org.crocushaven.outbound.BackendAnswerListener;
import org.crocushaven.outbound.BackendChannel;
import org.crocushaven.result.ResultCode;

/**
 * Hands one request over to another gateway, whole, and passes its answer on.
 *
 * <p>The other gateway serves the request as if its client had sent it there: it checks the key,
 * charges the organisation, and sends it to backend servers. So nothing of that is done here, and
 * what was charged is returned. A request is handed on only as long as none of the gateways may
 * have begun with it. Used on the event loop only.
 */
final class HandOver implements BackendAnswerListener {
    /** Other gateways that are asked in turn while each says that the request did not run. */
    private static final int MAXIMUM_RELAYS = 2;

    private final ForwardedRequest served;
    private final ForwardingEnvironment environment;
    private final ByteBuf body;
    private final ClientAnswer client;
    private final AttemptSuccession succession;
    private final RequestEnd end;
    private final Set<String> tried = new HashSet<>();
    private Relay relay;
    private BackendChannel channel;
    private HttpResponseStatus status;
    private HttpHeaders headers;
    private boolean signed;
    private AnswerMemory.Share memory;
    private AnswerBody answer;
    private boolean sent;
    private long eventsBefore;

    HandOver(
            ForwardedRequest served,
            ByteBuf body,
            ClientAnswer client,
            AttemptSuccession succession,
            RequestEnd end) {
        this.served = served;
        this.environment = served.environment();
        this.body = body;
        this.client = client;
        this.succession = succession;
        this.end = end;
    }

    /** Returns whether another gateway has the request, or is being reached. */
    boolean isUnderWay() {
        return relay != null;
    }

    /** Returns whether the request was sent to another gateway, so that it may run. */
    boolean wasSent() {
        return sent;
    }

    /** Returns whether there is a gateway for the request. */
    boolean mayStart() {
        return choose().isPresent();
    }

    /** Hands the request over if there is a gateway for it; returns whether there is one. */
    boolean tryStart(String reason) {
        final Optional<Relay> chosen = choose();
        chosen.ifPresent(found -> start(found, reason));
        return chosen.isPresent();
    }

    private Optional<Relay> choose() {
        return isUnderWay() || served.request().isRelayed() ? Optional.empty() : chooseNext();
    }

    private Optional<Relay> chooseNext() {
        return tried.size() >= MAXIMUM_RELAYS
                ? Optional.empty()
                : environment
                        .relays()
                        .choose(
                                served.admission().service(),
                                tried,
                                this::mayHaveBody,
                                environment.nowNanos());
    }

    private boolean mayHaveBody(Relay candidate) {
        return served.admission()
                .allowedRegions()
                .allowsBody(
                        environment.regions().regionOf(candidate.failureDomain()),
                        environment.region());
    }

    private void start(Relay chosen, String reason) {
        relay = chosen;
        tried.add(chosen.gateway());
        eventsBefore = succession.splitter().eventCount();
        served.admission().refund();
        environment.relays().requestStarted(chosen);
        environment.observer().handedOver(served.request(), chosen.gateway(), reason);
        environment
                .connectionFor(served.request(), addressOf(chosen), !served.route().isRetryable())
                .whenComplete(
                        (opened, failure) ->
                                end.orAfterFault(() -> connected(chosen, opened, failure)));
    }

    private static InetSocketAddress addressOf(Relay relay) {
        final int colon = relay.address().lastIndexOf(':');
        return new InetSocketAddress(
                relay.address().substring(0, colon),
                Integer.parseInt(relay.address().substring(colon + 1)));
    }

    private void connected(Relay chosen, BackendChannel opened, Throwable failure) {
        if (chosen != relay || served.isDone()) {
            if (opened != null) {
                opened.close();
            }
        } else if (failure != null) {
            environment.relays().failed(chosen, environment.nowNanos());
            notTaken("no connection");
        } else {
            channel = opened;
            sent = true;
            opened.send(
                    served.request().requestId(),
                    new BackendRequestFactory(environment)
                            .createRelayed(served.request(), body, fields()),
                    this);
        }
    }

    private RelayFields fields() {
        final IngressRequest request = served.request();
        final boolean hasBegun = succession.splitter().lastEventId().isPresent();
        return new RelayFields(
                served.remainingMillis(),
                Math.max(1, served.route().maximumAttempts() - served.retries().serversTried()),
                request.key(),
                succession.splitter().lastEventId(),
                request.resumedRequestId()
                        .or(() -> hasBegun ? Optional.of(request.requestId()) : Optional.empty()));
    }

    /** The other gateway did not begin with the request: asks the next one, or ends it. */
    private void notTaken(String reason) {
        leave();
        if (served.remainingMillis() <= 0 || !tryStart(reason)) {
            end.giveUp();
        }
    }

    /** Ends the part of this request at the other gateway, which is told if it has begun. */
    void abort() {
        final BackendChannel left = channel;
        leave();
        if (left != null) {
            left.abort();
        }
    }

    private void leave() {
        if (relay != null) {
            environment.relays().requestEnded(relay);
        }
        if (memory != null) {
            memory.release();
        }
        relay = null;
        channel = null;
        status = null;
        memory = null;
        answer = null;
        sent = false;
    }

    /** Pauses or resumes the reading of the answer. */
    void setReading(boolean reading) {
        if (channel != null) {
            channel.setAutoRead(reading);
        }
    }

    /** Other gateways answer in order, and name no request where they refuse one themselves. */
    @Override
    public AnsweredRequest answeredRequest(HttpResponse head) {
        final AnsweredRequest named = served.answeredRequest(head);
        final boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        return named == AnsweredRequest.UNNAMED && !success ? AnsweredRequest.OWN : named;
    }

    @Override
    public void head(HttpResponse head) {
        final BackendAnswerHead decoded = environment.dialect().decodeAnswer(head);
        status = head.status();
        headers = ForwardableHeaders.copy(head.headers(), Set.of());
        signed = decoded.signed();
        memory = served.answerShare(AnswerMemory.MAXIMUM_ANSWER_BYTES);
        if (isSuccess() && !signed) {
            fail("unsigned answer");
        } else if (isSuccess() && !served.mayGoOnWith(status, headers)) {
            fail("answer is not a stream");
        } else if (!isStream()) {
            answer = new AnswerBody(memory);
        }
    }

    private boolean isSuccess() {
        return status.codeClass() == HttpStatusClass.SUCCESS;
    }

    private boolean isStream() {
        return isSuccess() && succession.isStreamRoute();
    }

    @Override
    public void content(ByteBuf data) {
        if (answer != null) {
            if (!answer.tryAdd(data)) {
                fail("answer too large");
            }
        } else {
            forward(data);
        }
    }

    private void forward(ByteBuf data) {
        final EventSplitter splitter = succession.splitter();
        final ByteBuf events = splitter.add(data);
        if (events == null) {
            return;
        }
        if (!served.isStreamStarted()) {
            served.recordStreamStarted(status, headers);
            served.recordFirstByte();
            client.startStream(status, headers);
        }
        client.sendEvents(events);
        if (!client.isWritable()) {
            setReading(false);
        }
    }

    @Override
    public void readComplete() {
        final EventSplitter splitter = succession.splitter();
        if (channel != null && answer == null && status != null) {
            if (splitter.isBroken()) {
                fail("event missing, too long or repeated without end");
            } else if (!memory.tryResize(splitter.bufferBytes())) {
                fail("no memory for a long event");
            }
        }
    }

    @Override
    public void complete() {
        channel = null;
        if (answer == null) {
            streamEnded();
        } else if (!signed && environment.dialect().isPromise(status) && mayAskAnother()) {
            notTaken("refused by " + relay.gateway());
        } else {
            deliver();
        }
    }

    /** Returns whether another gateway may take what this one, which promises so, did not run. */
    private boolean mayAskAnother() {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && !served.retries().mayHaveRun()
                && served.remainingMillis() > 0
                && chooseNext().isPresent();
    }

    private void streamEnded() {
        final EventSplitter splitter = succession.splitter();
        if (splitter.hasPartialEvent() || splitter.isBroken()) {
            failed(true, "stream ended within an event");
            return;
        }
        if (served.isStreamStarted() && splitter.eventCount() == eventsBefore) {
            failed(true, "stream ended without an event");
            return;
        }
        if (!served.isStreamStarted()) {
            served.recordStreamStarted(status, headers);
            client.startStream(status, headers);
        }
        client.endStream();
        finish();
    }

    private void deliver() {
        if (served.isStreamStarted()) {
            environment
                    .observer()
                    .handOverFailed(served.request(), relay.gateway(), "answer is not a stream");
            end.giveUp();
            return;
        }
        if (!signed && environment.dialect().isPromise(status) && served.retries().mayHaveRun()) {
            end.giveUp();
            return;
        }
        served.recordFirstByte();
        client.sendComplete(status, headers, answer.bytes());
        finish();
    }

    private void finish() {
        final ResultCode code = signed ? ResultCode.OK : ResultCode.RELAY_REFUSED;
        end.finish(code, status.code(), "served through " + relay.gateway());
    }

    private void fail(String reason) {
        final BackendChannel failing = channel;
        failed(true, reason);
        if (failing != null) {
            failing.abort();
        }
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        if (served.isDone() || relay == null) {
            return;
        }
        environment.relays().failed(relay, environment.nowNanos());
        environment.observer().handOverFailed(served.request(), relay.gateway(), reason);
        served.retries().recordMayHaveRun(mayHaveRun);
        leave();
        end.giveUp();
    }
}
