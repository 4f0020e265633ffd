package org.crocushaven.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.result.Execution;
import org.crocushaven.result.Problem;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * An answer of the operator server.
 *
 * @param status HTTP status
 * @param mediaType media type of the body
 * @param body response body
 * @param execution whether a refused or failed request was executed; empty on success
 */
record OperatorResponse(int status, String mediaType, byte[] body, Optional<Execution> execution) {
    private static final String JSON = "application/json";

    /** Returns a successful answer with the given value as JSON. */
    static OperatorResponse json(Object value) {
        try {
            return ok(JSON, ConfigurationMappers.json().writeValueAsBytes(value));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Returns a successful answer with the given body. */
    static OperatorResponse ok(String mediaType, byte[] body) {
        return new OperatorResponse(ResultCode.OK.httpStatus(), mediaType, body, Optional.empty());
    }

    /** Returns an answer that describes a refusal as problem details. */
    static OperatorResponse refusal(ResultException refusal) {
        return new OperatorResponse(
                refusal.code().httpStatus(),
                Problem.MEDIA_TYPE,
                Problem.encode(refusal, ""),
                Optional.of(refusal.execution()));
    }

    /** Encodes the answer as an HTTP response. */
    FullHttpResponse encode(String instance, boolean keepAlive) {
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, mediaType);
        response.headers().set("Crocushaven-Instance", instance);
        execution.ifPresent(
                value -> response.headers().set("Crocushaven-Execution", value.headerValue()));
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        HttpUtil.setContentLength(response, body.length);
        return response;
    }
}
