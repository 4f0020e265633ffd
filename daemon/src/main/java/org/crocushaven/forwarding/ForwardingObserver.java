package org.crocushaven.forwarding;

import java.util.List;
import java.util.OptionalDouble;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;

/** Observes sends, failures and results of requests. */
public interface ForwardingObserver {
    /** Called when a request is sent to a backend server. */
    void sent(IngressRequest request, BackendRecord backend, int attempt, int requestsAtBackend);

    /**
     * Called when a request is sent to a backend server that does not accept requests any more.
     *
     * @param state the last known state of the backend server
     * @param sinceArrivalMillis time since the request arrived
     * @param adapterWaitMillis the part of it for which the request waited for its adapter
     */
    void sentToLeaving(
            IngressRequest request,
            String backend,
            String state,
            long sinceArrivalMillis,
            long adapterWaitMillis);

    /** Called when a backend server first says in an answer that it leaves. */
    void leavingAnnounced(IngressRequest request, String backend);

    /** Called when a backend server that took requests says in an answer that it wants a pause. */
    void pauseAnnounced(IngressRequest request, String backend, long millis);

    /**
     * Called when a backend server names another limit than before in an answer.
     *
     * @param perSecond the limit in requests a second; empty when it names none any more
     */
    void limitAnnounced(IngressRequest request, String backend, OptionalDouble perSecond);

    /**
     * Called when a backend server says anew that it is brittle, or is no more.
     *
     * @param bears rejections within a second that it bears; empty when it is not brittle any more
     */
    void brittleAnnounced(IngressRequest request, String backend, OptionalDouble bears);

    /**
     * Called when an attempt fails.
     *
     * @param traits what of the request may be guilty if the backend server has ended
     * @param mayHaveRun whether the request may have run
     */
    void attemptFailed(
            IngressRequest request,
            List<Long> traits,
            BackendRecord backend,
            int attempt,
            boolean mayHaveRun,
            String reason);

    /**
     * Called when a request whose attempt failed or is silent cannot be sent once more.
     *
     * @param missing what a further send lacks: "attempts", "time", "budget" or "target"
     */
    void retryUnavailable(IngressRequest request, String missing);

    /**
     * Called when a backend server's answer carries the identifier of another request and is
     * dropped.
     */
    void foreignAnswer(IngressRequest request, String backend, int attempt, ForeignAnswer answer);

    /** Called when a request is handed over to another gateway. */
    void handedOver(IngressRequest request, String gateway, String reason);

    /** Called when another gateway that has a request fails. */
    void handOverFailed(IngressRequest request, String gateway, String reason);

    /**
     * Called with each update of the leader.
     *
     * @param evacuatedDomains number of failure domains to which nothing is sent
     * @param coldBackends number of backend servers that get granted requests only
     */
    void updated(int evacuatedDomains, int coldBackends);

    /** Called when a request ends. */
    void ended(ForwardingSummary summary);

    /**
     * Called when a request is refused before it is decoded.
     *
     * @param answerUnderWay whether an earlier request of the same connection is being answered
     */
    void refusedBeforeDecoding(ResultCode code, String detail, boolean answerUnderWay);

    /**
     * Called when an unexpected exception ends a client's connection or request.
     *
     * @param answerUnderWay whether a request of the connection was unanswered
     */
    void faulted(Throwable fault, boolean answerUnderWay);

    /**
     * Called when a connection without a request is closed.
     *
     * @param idleMillis time since its last byte
     * @param limitMillis the idle timeout that was applied
     */
    void closedIdle(long idleMillis, long limitMillis);

    /**
     * Called for what a stopping gateway leaves unfinished.
     *
     * @param requestId the request; "-" where none is known
     * @param ageMillis time since the request arrived; 0 where none is known
     */
    void leftUnfinished(String requestId, UnfinishedWork work, long ageMillis);
}
