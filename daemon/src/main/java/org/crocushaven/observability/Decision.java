package org.crocushaven.observability;

import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.ResultCode;

/**
 * A decision about routing, placement or admission, with its log line.
 *
 * @param requestId identifier of the request that it concerns; empty when it concerns none
 * @param line the log line
 */
public record Decision(Optional<String> requestId, String line) {
    private static final String NONE = "-";

    /** Returns the decision to send a request to a backend server. */
    public static Decision route(
            String requestId,
            String organisation,
            Optional<AdapterVersion> version,
            String backendServer,
            String reason) {
        return of(
                requestId,
                EventLine.of("route")
                        .with("request", requestId)
                        .with("organisation", orNone(organisation))
                        .with("adapter", version.map(AdapterVersion::adapter).orElse(NONE))
                        .with("version", version.map(AdapterVersion::version).orElse(NONE))
                        .with("backend", backendServer)
                        .with("reason", reason));
    }

    /** Returns the decision to refuse a request. */
    public static Decision refuse(
            String requestId, String organisation, ResultCode code, String reason) {
        return of(
                requestId,
                EventLine.of("refuse")
                        .with("request", requestId)
                        .with("organisation", orNone(organisation))
                        .with("code", code.number())
                        .with("reason", reason));
    }

    /**
     * Returns the decision to load an adapter version for the request that waits for it, if any.
     */
    public static Decision load(
            Optional<String> requestId,
            AdapterVersion version,
            String backendServer,
            long fencingNumber,
            String reason) {
        return new Decision(
                requestId,
                placementLine("load", requestId, version, backendServer, fencingNumber, reason));
    }

    /**
     * Returns the decision to evict an adapter version for the request that needs the slot, if any.
     */
    public static Decision evict(
            Optional<String> requestId,
            AdapterVersion version,
            String backendServer,
            long fencingNumber,
            String reason) {
        return new Decision(
                requestId,
                placementLine("evict", requestId, version, backendServer, fencingNumber, reason));
    }

    /** Returns the decision to change an instance's share of an organisation's rate. */
    public static Decision share(
            String organisation,
            String instance,
            double tokensPerSecond,
            double burstTokens,
            String reason) {
        return new Decision(
                Optional.empty(),
                EventLine.of("share")
                        .with("organisation", organisation)
                        .with("instance", instance)
                        .with("tokens_per_second", tokensPerSecond)
                        .with("burst_tokens", burstTokens)
                        .with("reason", reason)
                        .toString());
    }

    /** Returns the decision to charge a request to this instance's share. */
    public static Decision charge(
            String requestId, String organisation, long tokens, double tokensLeft) {
        return of(
                requestId,
                EventLine.of("charge")
                        .with("request", requestId)
                        .with("organisation", organisation)
                        .with("tokens", tokens)
                        .with("tokens_left", tokensLeft));
    }

    private static Decision of(String requestId, EventLine line) {
        return new Decision(Optional.of(requestId), line.toString());
    }

    private static String placementLine(
            String event,
            Optional<String> requestId,
            AdapterVersion version,
            String backendServer,
            long fencingNumber,
            String reason) {
        return EventLine.of(event)
                .with("request", requestId.orElse(NONE))
                .with("adapter", version.adapter())
                .with("version", version.version())
                .with("backend", backendServer)
                .with("fencing_number", fencingNumber)
                .with("reason", reason)
                .toString();
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }
}
