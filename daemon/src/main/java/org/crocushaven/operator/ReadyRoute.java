package org.crocushaven.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.crocushaven.status.Acknowledgement;

/** Answers the readiness probe, which fails while the instance should receive no traffic. */
final class ReadyRoute implements OperatorRoute {
    private static final String TEXT_READY = "ready";

    private final PlatformProbe probe;

    ReadyRoute(PlatformProbe probe) {
        this.probe = probe;
    }

    @Override
    public CompletableFuture<OperatorResponse> answer(OperatorCall call, String name) {
        final Optional<String> reason = probe.notReadyReason();
        if (reason.isPresent()) {
            throw ResultException.of(ResultCode.NOT_READY, reason.get());
        }
        return CompletableFuture.completedFuture(
                OperatorResponse.json(new Acknowledgement(TEXT_READY)));
    }
}
