/**
 * Routing table and policies that choose the backend server for a request, and limits on retries.
 *
 * <p>The classes of this package use no sockets, files or threads.
 */
package org.crocushaven.routing;
