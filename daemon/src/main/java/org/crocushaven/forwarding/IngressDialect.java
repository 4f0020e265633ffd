package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.crocushaven.ingress.IngressRequest;

/** Reads and writes the headers that clients, gateways and backend servers exchange. */
public interface IngressDialect {
    /**
     * Decodes the head of a request.
     *
     * @throws org.crocushaven.result.ResultException when a required header is malformed
     */
    IngressRequest decodeRequest(HttpRequest head);

    /** Adds the headers that a gateway sets for a backend server. */
    void addForwardingHeaders(HttpHeaders headers, ForwardingFields fields);

    /** Adds what a gateway tells another one to which it hands a request over. */
    void addRelayHeaders(HttpHeaders headers, RelayFields fields);

    /** Returns whether a gateway's own answer promises that the request did not run. */
    boolean isPromise(HttpResponseStatus status);

    /** Decodes the head of a backend server's answer. */
    BackendAnswerHead decodeAnswer(HttpResponse head);
}
