/**
 * Manages connections to backend servers over plain HTTP: pooling, reuse and abort, with one
 * request at a time.
 *
 * <p>This package knows neither routes nor orders. It tells the listener of a request what was
 * received and whether the request may have reached the backend server.
 */
package org.crocushaven.outbound;
