package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A part of a prompt that backend servers were answering on when they ended, and on which no answer
 * is known to have gone on.
 *
 * @param part identifier of the part
 * @param crashes number of backend servers that ended; those of one moment count once
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartSuspect(long part, int crashes) {}
