package org.crocushaven.outbound;

/**
 * Names one send on a connection, so that log lines tell which sends shared a connection.
 *
 * @param connection number of the connection, counted from 1 in its pool
 * @param send number of the send, counted from 1 on its connection
 */
public record ConnectionUse(long connection, long send) {}
