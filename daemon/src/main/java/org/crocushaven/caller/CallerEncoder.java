package org.crocushaven.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes HTTP answers to callers. Used only on the connection's event loop. */
final class CallerEncoder extends HttpResponseEncoder {
    private boolean headRequest;

    /** Sets whether the next answer is for a HEAD request and therefore has no body. */
    void setHeadRequest(boolean isHeadRequest) {
        headRequest = isHeadRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return headRequest || super.isContentAlwaysEmpty(response);
    }
}
