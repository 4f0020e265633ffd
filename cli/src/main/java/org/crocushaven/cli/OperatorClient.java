package org.crocushaven.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import org.crocushaven.configuration.ChangeAnswer;
import org.crocushaven.configuration.ConfigurationMappers;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Sends requests to the operator port of the first address that answers.
 *
 * <p>A request is also sent to the next address when its answer was lost. For a change this is safe
 * because its number prevents it from being applied twice.
 */
final class OperatorClient {
    private static final String ROOT = "/operator/v1/";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;

    private final List<String> addresses;
    private final String key;
    private final Duration timeout;
    private final HttpClient client;

    private OperatorClient(List<String> addresses, String key, Duration timeout) {
        this.addresses = addresses;
        this.key = key;
        this.timeout = timeout;
        client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(timeout)
                        .build();
    }

    static OperatorClient of(List<String> addresses, String key, Duration timeout) {
        return new OperatorClient(addresses, key, timeout);
    }

    /** Sends a GET request and returns the decoded answer. */
    <T> T get(String path, TypeReference<T> type) {
        return send(path, "GET", BodyPublishers.noBody(), type, ResultCode.OPERATOR_UNREACHABLE);
    }

    /** Sends a POST request without a body and returns the decoded answer. */
    <T> T post(String path, TypeReference<T> type) {
        return send(path, "POST", BodyPublishers.noBody(), type, ResultCode.OPERATOR_UNREACHABLE);
    }

    /** Submits a change and returns the decoded answer. */
    ChangeAnswer submit(NumberedChange change) {
        final byte[] body;
        try {
            body = ConfigurationMappers.json().writeValueAsBytes(change);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
        return send(
                "changes",
                "POST",
                BodyPublishers.ofByteArray(body),
                new TypeReference<ChangeAnswer>() {},
                ResultCode.CHANGE_OUTCOME_UNKNOWN);
    }

    private <T> T send(
            String path,
            String method,
            BodyPublisher body,
            TypeReference<T> type,
            ResultCode codeIfOutcomeUnknown) {
        boolean answerLost = false;
        String lastFailure = "";
        for (final String address : addresses) {
            final HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + ROOT + path))
                            .timeout(timeout)
                            .header("Authorization", "Bearer " + key)
                            .header("Content-Type", "application/json")
                            .method(method, body)
                            .build();
            try {
                return read(client.send(request, BodyHandlers.ofByteArray()), type);
            } catch (ConnectException | HttpConnectTimeoutException unreachable) {
                lastFailure = "no connection";
            } catch (IOException lost) {
                answerLost = true;
                lastFailure = "the answer was lost";
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw ResultException.of(codeIfOutcomeUnknown, address, "interrupted");
            }
        }
        throw ResultException.of(
                answerLost ? codeIfOutcomeUnknown : ResultCode.OPERATOR_UNREACHABLE,
                String.join(",", addresses),
                lastFailure);
    }

    private static <T> T read(HttpResponse<byte[]> response, TypeReference<T> type)
            throws IOException {
        final int status = response.statusCode();
        if (status >= FIRST_SUCCESS && status < FIRST_REDIRECTION) {
            return ConfigurationMappers.json()
                    .readerFor(type)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readValue(response.body());
        }
        throw refusal(response);
    }

    private static ResultException refusal(HttpResponse<byte[]> response) {
        try {
            final JsonNode problem = ConfigurationMappers.json().readTree(response.body());
            final ResultCode code =
                    ResultCode.fromNumber(problem.path("code").asInt()).orElse(ResultCode.INTERNAL);
            return ResultException.withDetail(code, problem.path("detail").asText());
        } catch (IOException malformed) {
            return ResultException.of(
                    ResultCode.INTERNAL,
                    "the answer with status " + response.statusCode() + " is not JSON");
        }
    }
}
