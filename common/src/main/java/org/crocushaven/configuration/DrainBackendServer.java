package org.crocushaven.configuration;

/**
 * Drains a backend server, so that it gets no new requests.
 *
 * @param name name of the backend server
 */
public record DrainBackendServer(String name) implements Change {}
