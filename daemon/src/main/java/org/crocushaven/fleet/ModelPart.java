package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A part of a prompt at one base model.
 *
 * @param model name of the base model; empty if the request names none
 * @param part identifier of the part
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ModelPart(String model, long part) {}
