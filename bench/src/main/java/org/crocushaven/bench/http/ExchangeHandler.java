package org.crocushaven.bench.http;

/** Handles the requests of one server on the server's event loop. */
@FunctionalInterface
public interface ExchangeHandler {
    /** Handles one fully received request; it may be answered later on the same event loop. */
    void handle(Exchange exchange);
}
