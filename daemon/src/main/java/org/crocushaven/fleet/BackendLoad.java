package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A gateway's requests in flight at a backend server.
 *
 * @param backend identifier of the backend server
 * @param requests number of requests
 * @param promptTokens prompt tokens that the backend server may not have processed yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendLoad(String backend, int requests, long promptTokens) {}
