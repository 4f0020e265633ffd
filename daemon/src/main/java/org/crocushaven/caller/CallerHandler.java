package org.crocushaven.caller;

/** Serves callers' parsed requests. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Starts serving a request and returns without waiting for the answer.
     *
     * <p>The implementation must call exactly one of {@link CallerResponse#end()} and {@link
     * CallerResponse#refuse} on the response, on any thread, unless the caller disconnects first.
     */
    void handle(CallerRequest request, CallerResponse response);
}
