package org.crocushaven.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.caller.CallerResponse;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.result.Execution;

/** Builds the headers of answers to callers, including those that this instance adds. */
final class AnswerHeaders {
    private static final String BACKEND_SERVER = "crocushaven-backend-server";
    private static final String ADAPTER = "crocushaven-adapter";
    private static final String EXECUTION = "crocushaven-execution";
    private static final String REPLAYED = "crocushaven-replayed";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    private AnswerHeaders() {}

    /**
     * Returns the headers for the caller: those received from the backend server, and those that
     * this instance adds.
     */
    static Map<String, List<String>> of(
            Map<String, List<String>> received, RequestExecution execution, String backendServer) {
        final Map<String, List<String>> headers = new HashMap<>(received);
        headers.put(BACKEND_SERVER, List.of(backendServer));
        headers.put(EXECUTION, List.of(Execution.RAN.headerValue()));
        execution
                .target()
                .version()
                .map(AdapterVersion::toString)
                .ifPresent(version -> headers.put(ADAPTER, List.of(version)));
        if (execution.claim() != null) {
            headers.put(IDEMPOTENCY_KEY, List.of(execution.claim().idempotencyKey()));
        }
        return headers;
    }

    /** Sends a stored answer to the caller. */
    static void replay(CallerResponse response, AtMostOnceGate.Claim claim) {
        final StoredAnswer answer = claim.storedAnswer();
        final Map<String, List<String>> headers = new HashMap<>(answer.headers());
        headers.put(REPLAYED, List.of("true"));
        headers.put(IDEMPOTENCY_KEY, List.of(claim.idempotencyKey()));
        response.begin(answer.status(), headers);
        response.write(answer.body());
        response.end();
    }
}
