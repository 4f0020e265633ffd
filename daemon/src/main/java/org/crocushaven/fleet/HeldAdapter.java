package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An adapter or base model that an engine holds.
 *
 * @param model name of its base model
 * @param adapter name of the adapter; empty for the base model itself
 * @param version its version; 0 if not reported
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeldAdapter(String model, String adapter, long version) {}
