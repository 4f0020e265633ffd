package org.crocushaven.fleet;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.crocushaven.ingress.IngressConfiguration;
import org.crocushaven.outbound.AnsweredRequest;

/** Encodes and decodes the calls between this system, operators and backend servers. */
public interface ControlDialect {
    /**
     * Decodes a call of an operator or a backend server.
     *
     * @throws org.crocushaven.result.ResultException when the call is malformed
     */
    ControlCall decode(FullHttpRequest request);

    /**
     * Decodes a configuration.
     *
     * @throws org.crocushaven.result.ResultException when it is invalid
     */
    IngressConfiguration decodeConfiguration(byte[] document);

    /** Encodes an order to an engine. */
    FullHttpRequest encodeOrder(String backend, EngineOrder order, OrderFence fence);

    /** Returns whether an engine's answer names this order or request for a report. */
    AnsweredRequest answeredCall(FullHttpRequest call, HttpResponse answer);

    /** Returns the outcome of an order, from the HTTP status of the engine's answer. */
    OrderOutcome decodeOrderAnswer(int status);

    /** Encodes a request for an engine's report. */
    FullHttpRequest encodeReportRequest(String backend);

    /**
     * Decodes an engine's report.
     *
     * @throws org.crocushaven.result.ResultException when it is malformed
     */
    EngineReport decodeReport(byte[] body);
}
