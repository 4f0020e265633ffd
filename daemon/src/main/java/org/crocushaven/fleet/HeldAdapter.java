package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * An adapter on an engine.
 *
 * @param model name of its base model
 * @param adapter name of the adapter; empty text for the base model itself
 * @param version its version; 0 when the engine did not tell
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HeldAdapter(String model, String adapter, long version) {}
