package org.crocushaven.caller;

import java.util.Objects;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.settings.CallerLimits;

/**
 * Contains the services and settings that the HTTP server for callers uses.
 *
 * @param instance name of the instance
 * @param limits limits on callers' connections and requests
 * @param nanoClock the daemon's monotonic clock
 * @param epochClock wall clock; the server's start time is part of each request identifier, which
 *     makes the identifiers unique across restarts
 * @param handler serves the requests; called on event loops and must not block
 * @param models lists the models that the owner of a key may use
 * @param promptTokens estimates the number of tokens in prompts
 * @param observer is notified of the result of each request
 */
public record CallerEnvironment(
        String instance,
        CallerLimits limits,
        NanoClock nanoClock,
        EpochClock epochClock,
        CallerHandler handler,
        ModelCatalogue models,
        PromptTokenPolicy promptTokens,
        CallerObserver observer) {
    public CallerEnvironment {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(nanoClock, "nanoClock");
        Objects.requireNonNull(epochClock, "epochClock");
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(models, "models");
        Objects.requireNonNull(promptTokens, "promptTokens");
        Objects.requireNonNull(observer, "observer");
    }
}
