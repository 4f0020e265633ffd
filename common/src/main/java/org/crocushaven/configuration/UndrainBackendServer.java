package org.crocushaven.configuration;

/**
 * Ends the draining of a backend server, so that it gets requests again.
 *
 * @param name name of the backend server
 */
public record UndrainBackendServer(String name) implements Change {}
