package org.crocushaven.forwarding;

import java.util.List;
import java.util.OptionalDouble;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.result.ResultCode;

/** Ignores everything; tests override what they observe. */
class IgnoringObserver implements ForwardingObserver {
    @Override
    public void sent(
            IngressRequest request, BackendRecord backend, int attempt, int requestsAtBackend) {}

    @Override
    public void sentToLeaving(
            IngressRequest request,
            String backend,
            String state,
            long sinceArrivalMillis,
            long adapterWaitMillis) {}

    @Override
    public void leavingAnnounced(IngressRequest request, String backend) {}

    @Override
    public void pauseAnnounced(IngressRequest request, String backend, long millis) {}

    @Override
    public void limitAnnounced(IngressRequest request, String backend, OptionalDouble limit) {}

    @Override
    public void brittleAnnounced(IngressRequest request, String backend, OptionalDouble bears) {}

    @Override
    public void handedOver(IngressRequest request, String gateway, String reason) {}

    @Override
    public void handOverFailed(IngressRequest request, String gateway, String reason) {}

    @Override
    public void attemptFailed(
            IngressRequest request,
            List<Long> traits,
            BackendRecord backend,
            int attempt,
            boolean mayHaveRun,
            String reason) {}

    @Override
    public void retryUnavailable(IngressRequest request, String missing) {}

    @Override
    public void foreignAnswer(
            IngressRequest request, String backend, int attempt, ForeignAnswer answer) {}

    @Override
    public void updated(int evacuatedDomains, int coldBackends) {}

    @Override
    public void ended(ForwardingSummary summary) {}

    @Override
    public void refusedBeforeDecoding(ResultCode code, String detail, boolean answerUnderWay) {}

    @Override
    public void faulted(Throwable fault, boolean answerUnderWay) {}

    @Override
    public void closedIdle(long idleMillis, long limitMillis) {}

    @Override
    public void leftUnfinished(String requestId, UnfinishedWork work, long ageMillis) {}
}
