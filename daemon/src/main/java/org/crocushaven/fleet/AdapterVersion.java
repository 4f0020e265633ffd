package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The version of an adapter that the operator named last.
 *
 * @param model name of the base model
 * @param adapter name of the adapter; empty for the base model itself
 * @param version the version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AdapterVersion(String model, String adapter, long version) {}
