/**
 * Contains the listening sockets for all ports of the daemon, an HTTP server for short requests,
 * and the detection of suspensions.
 *
 * <p>Listening sockets do not depend on the protocols spoken on them.
 */
package org.crocushaven.network;
