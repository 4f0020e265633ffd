package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A gateway's requests for an adapter on a backend server.
 *
 * @param backend identifier of the backend server
 * @param model name of the base model
 * @param adapter name of the adapter; empty text for the base model itself
 * @param running how many are under way
 * @param started how many were sent since the last report that was answered
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterUse(String backend, String model, String adapter, int running, int started) {}
