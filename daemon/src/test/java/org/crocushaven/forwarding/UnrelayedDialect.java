package org.crocushaven.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Headers of tests in which no request is handed over to another gateway. */
interface UnrelayedDialect extends IngressDialect {
    @Override
    default void addRelayHeaders(HttpHeaders headers, RelayFields fields) {
        throw new AssertionError("nothing is handed over");
    }

    @Override
    default boolean isPromise(HttpResponseStatus status) {
        throw new AssertionError("nothing is handed over");
    }
}
