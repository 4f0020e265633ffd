/**
 * Contains the listening sockets for all ports of the daemon.
 *
 * <p>This package does not depend on the protocols spoken on them.
 */
package org.crocushaven.network;
