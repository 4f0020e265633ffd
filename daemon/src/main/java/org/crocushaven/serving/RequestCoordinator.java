package org.crocushaven.serving;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.crocushaven.caller.CallerHandler;
import org.crocushaven.caller.CallerRequest;
import org.crocushaven.caller.CallerResponse;

/** Serves the requests of callers, each with its own {@link RequestExecution}. */
public final class RequestCoordinator implements CallerHandler {
    private final ServingEnvironment environment;
    private final AtomicLong lastPermitNumber = new AtomicLong();
    private final AtomicInteger underWay = new AtomicInteger();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private volatile boolean stopping;

    private RequestCoordinator(ServingEnvironment environment) {
        this.environment = environment;
    }

    /** Returns a coordinator that uses the given environment. */
    public static RequestCoordinator create(ServingEnvironment environment) {
        return new RequestCoordinator(environment);
    }

    @Override
    public void handle(CallerRequest request, CallerResponse response) {
        underWay.incrementAndGet();
        final String permitId =
                request.requestId()
                        + "#"
                        + environment.instance()
                        + "#"
                        + lastPermitNumber.incrementAndGet();
        new RequestExecution(environment, request, response, permitId, this::requestEnded).start();
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return underWay.get();
    }

    /** Completes once no request is in flight; to be called after new requests have stopped. */
    public CompletableFuture<Void> whenIdle() {
        stopping = true;
        completeIfIdle();
        return idle;
    }

    private void requestEnded() {
        underWay.decrementAndGet();
        completeIfIdle();
    }

    private void completeIfIdle() {
        if (stopping && underWay.get() == 0) {
            idle.complete(null);
        }
    }
}
