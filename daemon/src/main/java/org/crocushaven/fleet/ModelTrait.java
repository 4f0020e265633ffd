package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A trait of a request at one base model.
 *
 * @param model name of the base model; empty if the request names none
 * @param trait identifier of the trait
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ModelTrait(String model, long trait) {}
