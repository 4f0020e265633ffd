package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A gateway's requests for an adapter on a backend server.
 *
 * @param backend identifier of the backend server
 * @param model name of the base model
 * @param adapter name of the adapter; empty for the base model itself
 * @param running number of requests in flight
 * @param started number of requests sent since the last acknowledged report
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterUse(String backend, String model, String adapter, int running, int started) {}
