/**
 * Dispatchers of backend servers: request queues, permits, and loads and evictions of adapter
 * versions.
 *
 * <p>The classes of this package use no sockets, files or threads.
 */
package org.crocushaven.placement;
