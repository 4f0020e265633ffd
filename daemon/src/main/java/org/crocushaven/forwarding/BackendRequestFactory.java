package org.crocushaven.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.crocushaven.ingress.IngressRequest;
import org.crocushaven.ingress.KeyedOrganisation;
import org.crocushaven.ingress.RouteKind;

/** Creates the request to a backend server from a client's request. */
final class BackendRequestFactory {
    private static final int LOWEST_PRIORITY = 9;

    private final ForwardingEnvironment environment;

    BackendRequestFactory(ForwardingEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Returns the request for a backend server; the request shares the body and retains it.
     *
     * @param remainingMillis remaining time
     * @param lastEventId event after which a stream resumes
     */
    FullHttpRequest create(
            IngressRequest request,
            ByteBuf body,
            RequestAdmission admission,
            Target target,
            long remainingMillis,
            Optional<String> lastEventId) {
        final HttpHeaders headers = request.headers().copy();
        final OptionalLong version =
                target.key() == null
                        ? OptionalLong.empty()
                        : environment.view().requiredVersion(target.key());
        environment
                .dialect()
                .addForwardingHeaders(
                        headers,
                        new ForwardingFields(
                                target.backend().backend(),
                                remainingMillis,
                                admission.organisation().map(KeyedOrganisation::name),
                                version,
                                priority(admission),
                                lastEventId));
        return withBody(request, headers, body);
    }

    /** Returns the request for another gateway; shares the body and retains it. */
    FullHttpRequest createRelayed(IngressRequest request, ByteBuf body, RelayFields fields) {
        final HttpHeaders headers = request.headers().copy();
        environment.dialect().addRelayHeaders(headers, fields);
        return withBody(request, headers, body);
    }

    private static FullHttpRequest withBody(
            IngressRequest request, HttpHeaders headers, ByteBuf body) {
        if (body.isReadable() || !request.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        final FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        body.retainedDuplicate());
        copy.headers().set(headers);
        return copy;
    }

    /**
     * Returns the priority with which a stream request is sent; other requests are sent without.
     */
    private static OptionalInt priority(RequestAdmission admission) {
        return admission.route().kind() == RouteKind.STREAM
                ? OptionalInt.of(Math.min(LOWEST_PRIORITY, Math.max(0, admission.priority())))
                : OptionalInt.empty();
    }
}
