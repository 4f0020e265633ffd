package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Requests under way at a backend server.
 *
 * @param backend identifier of the backend server
 * @param requests how many
 * @param promptTokens tokens of their prompts that may still be read there
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record BackendLoad(String backend, int requests, long promptTokens) {}
