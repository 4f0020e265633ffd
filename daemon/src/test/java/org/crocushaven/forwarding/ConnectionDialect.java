package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.crocushaven.ingress.IngressRequest;

/** Headers of tests in which clients, gateways and backend servers all speak over connections. */
final class ConnectionDialect implements IngressDialect {
    static final String REQUEST_ID = "Request-Id";
    private static final String SIGNATURE = "Signature";
    private static final String NOT_RUN = "Not-Run";
    private static final String LAST_EVENT_ID = "Last-Event-Id";
    private static final String DEADLINE = "Deadline";
    private static final String KEY = "Key";
    private static final String RELAYED_ATTEMPTS = "Relayed-Attempts";

    @Override
    public IngressRequest decodeRequest(HttpRequest head) {
        final HttpHeaders headers = head.headers();
        final String deadline = headers.get(DEADLINE);
        final String attempts = headers.get(RELAYED_ATTEMPTS);
        return new IngressRequest(
                headers.get(REQUEST_ID),
                head.method(),
                head.uri(),
                "host",
                head.uri(),
                ForwardableHeaders.copy(headers, Set.of("key", "deadline", "relayed-attempts")),
                deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
                Optional.ofNullable(headers.get(KEY)),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.ofNullable(headers.get(LAST_EVENT_ID)),
                Optional.empty(),
                attempts == null
                        ? OptionalInt.empty()
                        : OptionalInt.of(Integer.parseInt(attempts)));
    }

    @Override
    public void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields) {
        headers.set(DEADLINE, fields.remainingMillis());
        fields.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
    }

    @Override
    public void addRelayHeaders(HttpHeaders headers, RelayFields fields) {
        headers.set(DEADLINE, fields.remainingMillis());
        headers.set(RELAYED_ATTEMPTS, fields.attempts());
        fields.key().ifPresent(key -> headers.set(KEY, key));
        fields.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
    }

    @Override
    public boolean isPromise(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    @Override
    public BackendAnswerHead decodeAnswer(HttpResponse head) {
        return new BackendAnswerHead(
                Optional.empty(),
                head.headers().contains(SIGNATURE),
                head.headers().contains(NOT_RUN),
                Optional.empty(),
                false,
                Optional.empty(),
                NamedLimit.NONE,
                OptionalDouble.empty());
    }
}
