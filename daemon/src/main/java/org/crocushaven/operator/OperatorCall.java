package org.crocushaven.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * A request to the operator port.
 *
 * @param method HTTP method
 * @param path path as sent, not decoded, without the query
 * @param query decoded query parameters by name
 * @param body request body
 */
record OperatorCall(String method, String path, Map<String, List<String>> query, byte[] body) {
    /**
     * Returns the value of a query parameter; empty if it is absent.
     *
     * @throws ResultException if the parameter occurs more than once
     */
    Optional<String> parameter(String name) {
        final List<String> values = query.getOrDefault(name, List.of());
        if (values.size() > 1) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST,
                    "the parameter " + name + " occurs more than once");
        }
        return values.stream().findFirst();
    }

    /**
     * Decodes the body from JSON.
     *
     * @throws ResultException if the body is not a valid value of the type
     */
    <T> T json(Class<T> type) {
        try {
            final T value = ConfigurationMappers.json().readValue(body, type);
            if (value == null) {
                throw ResultException.of(ResultCode.MALFORMED_REQUEST, "the body is null");
            }
            return value;
        } catch (JsonProcessingException malformed) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST,
                    "the body cannot be decoded: " + malformed.getOriginalMessage());
        } catch (IOException failure) {
            throw ResultException.of(
                    ResultCode.MALFORMED_REQUEST, "the body cannot be decoded: " + failure);
        }
    }
}
