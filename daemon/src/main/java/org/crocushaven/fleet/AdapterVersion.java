package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The version of an adapter that the operator requires; no request is placed on an older one.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; empty for the base model itself
 * @param version the version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterVersion(String model, String adapter, long version) {}
