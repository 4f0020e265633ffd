package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.Urgency;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.IngressRoute;
import org.crocushaven.outbound.AnswerMemory;
import org.crocushaven.outbound.AnsweredRequest;

/**
 * Contains what is known of a request while it is served: its limits, its attempts and how far its
 * answer has come. Used on the event loop only.
 */
final class ForwardedRequest {
    private final ForwardingEnvironment environment;
    private final IngressRequest request;
    private final long arrivedNanos;
    private final RequestAdmission admission;
    private final StreamContinuation continuation;
    private final RetryState retries = new RetryState();
    private final AttemptsInFlight attempts;
    private final List<AnswerMemory.Share> answerShares = new ArrayList<>();
    private final RequestGuard guard;
    private final byte[] bodyDigest;
    private RequestTraits traits = RequestTraits.UNKNOWN;
    private String lastBackend = "-";
    private String lastSoftwareVersion = "-";
    private long adapterWaitMillis;
    private int requestsAtBackend;
    private boolean streamStarted;
    private HttpResponseStatus streamStatus;
    private String streamMediaType;
    private boolean done;
    private long firstByteNanos;

    ForwardedRequest(ForwardingEnvironment environment, IngressRequest request, byte[] bodyDigest) {
        this.environment = environment;
        this.request = request;
        this.arrivedNanos = environment.nowNanos();
        this.admission = new RequestAdmission(environment, request);
        this.continuation = new StreamContinuation(environment, request, admission);
        this.attempts = new AttemptsInFlight(environment.view());
        this.bodyDigest = bodyDigest;
        this.guard = environment.crashes().of(request);
    }

    ForwardingEnvironment environment() {
        return environment;
    }

    IngressRequest request() {
        return request;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    RequestAdmission admission() {
        return admission;
    }

    StreamContinuation continuation() {
        return continuation;
    }

    RetryState retries() {
        return retries;
    }

    AttemptsInFlight attempts() {
        return attempts;
    }

    RequestGuard guard() {
        return guard;
    }

    /** Finds out what of the request may be guilty; to be called once its caller is known. */
    void identifyTraits() {
        traits = RequestTraits.of(request, admission.organisationName(), bodyDigest);
        guard.identify(traits);
    }

    /** Returns the number of backend servers to which the request may be sent. */
    int maximumAttempts() {
        return Math.min(
                route().maximumAttempts(), request.relayedAttempts().orElse(Integer.MAX_VALUE));
    }

    IngressRoute route() {
        return admission.route();
    }

    /** Returns how urgent the request is now. */
    Urgency urgency() {
        return Urgency.of(
                admission.priority(),
                route().objectiveMillis(),
                TimeUnit.NANOSECONDS.toMillis(environment.nowNanos() - arrivedNanos),
                remainingMillis());
    }

    /** Returns the time, in milliseconds, until the deadline or the route's time limit. */
    long remainingMillis() {
        final long limit =
                Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route().timeoutMillis());
        return limit - TimeUnit.NANOSECONDS.toMillis(environment.nowNanos() - arrivedNanos);
    }

    /** Returns which request an answer names by its head. */
    AnsweredRequest answeredRequest(HttpResponse head) {
        return environment
                .dialect()
                .decodeAnswer(head)
                .requestId()
                .map(
                        named ->
                                named.equals(request.requestId())
                                        ? AnsweredRequest.OWN
                                        : AnsweredRequest.ANOTHER)
                .orElse(AnsweredRequest.UNNAMED);
    }

    boolean isDone() {
        return done;
    }

    void recordDone() {
        done = true;
    }

    /** Returns the memory of a further answer, which is returned at the end of the request. */
    AnswerMemory.Share answerShare(long maximumBytes) {
        final AnswerMemory.Share share = environment.pool().answerMemory().share(maximumBytes);
        answerShares.add(share);
        return share;
    }

    void releaseAnswerShares() {
        answerShares.forEach(AnswerMemory.Share::release);
    }

    /** Returns whether what an attempt brings is of no use any more. */
    boolean isStale(BackendAttempt from) {
        return done || !attempts.contains(from);
    }

    boolean isStreamStarted() {
        return streamStarted;
    }

    /** Records that a stream with the given head goes to the client. */
    void recordStreamStarted(HttpResponseStatus status, HttpHeaders headers) {
        streamStarted = true;
        streamStatus = status;
        streamMediaType = mediaType(headers);
    }

    /** Returns whether an answer with the given head may go on with what the client has. */
    boolean mayGoOnWith(HttpResponseStatus status, HttpHeaders headers) {
        return !streamStarted
                || status.equals(streamStatus) && mediaType(headers).equals(streamMediaType);
    }

    private static String mediaType(HttpHeaders headers) {
        final String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        final CharSequence withoutParameters = HttpUtil.getMimeType(type);
        return withoutParameters == null
                ? ""
                : withoutParameters.toString().trim().toLowerCase(Locale.ROOT);
    }

    /** Returns the time of the answer's first byte; 0 while there is none. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    void recordFirstByte() {
        firstByteNanos = environment.nowNanos();
    }

    long adapterWaitMillis() {
        return adapterWaitMillis;
    }

    void recordAdapterWait(long delayMillis) {
        adapterWaitMillis += delayMillis;
    }

    int requestsAtBackend() {
        return requestsAtBackend;
    }

    void recordRequestsAtBackend(int requests) {
        requestsAtBackend = requests;
    }

    /** Returns the backend server of the last attempt; "-" while there is none. */
    String lastBackend() {
        return lastBackend;
    }

    String lastSoftwareVersion() {
        return lastSoftwareVersion;
    }

    /** Counts a further attempt and returns its number. */
    int recordAttempt(Target target) {
        lastBackend = target.backend().backend();
        lastSoftwareVersion = target.backend().softwareVersion();
        final int number = retries.recordSend(lastBackend);
        if (number == 1) {
            environment.retryBudget().recordSend(admission.service());
        }
        return number;
    }

    /** Records that an attempt was silent, which says the same of idle connections like its own. */
    void recordSilence(BackendAttempt silent) {
        if (silent.isOnUsedConnection()) {
            final BackendRecord backend = silent.target().backend();
            environment.pool().distrustIdle(new InetSocketAddress(backend.host(), backend.port()));
        }
    }

    void reportFailedAttempt(BackendAttempt failed, boolean mayHaveRun, String reason) {
        environment
                .observer()
                .attemptFailed(
                        request,
                        traits.traits(),
                        failed.target().backend(),
                        failed.number(),
                        mayHaveRun,
                        reason);
    }
}
