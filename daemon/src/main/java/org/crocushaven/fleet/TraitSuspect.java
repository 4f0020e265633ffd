package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A trait of a request that backend servers were answering on when they ended, and on which no
 * answer is known to have gone on.
 *
 * @param trait identifier of the trait
 * @param crashes number of backend servers that ended; those of one moment count once
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TraitSuspect(long trait, int crashes) {}
