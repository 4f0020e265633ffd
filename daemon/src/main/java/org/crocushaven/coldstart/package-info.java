/**
 * Bounds the requests to backend servers that have just started: the leader hands requests out, and
 * a gateway sends none without.
 *
 * <p>Contains decisions only: no sockets, timers or messages of their own.
 */
package org.crocushaven.coldstart;
