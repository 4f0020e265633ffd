/**
 * Connections to backend servers over plain HTTP: kept, reused and given up, one request at a time.
 *
 * <p>Knows neither routes nor orders; tells the listener of a request what arrived, and whether the
 * request may have reached the other end.
 */
package org.crocushaven.outbound;
