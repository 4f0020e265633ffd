package org.crocushaven.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifies the instance that opened a connection; it is the first message on each connection.
 *
 * @param instance name of the sender
 * @param incarnation incarnation of the sender
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Hello(String instance, long incarnation) implements Message {}
