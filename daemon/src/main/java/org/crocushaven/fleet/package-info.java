/**
 * Control plane of a fleet whose backend servers announce themselves: the complete configuration
 * and the adapter versions in a replicated log, the registry of backend servers, the placement of
 * adapters, orders to engines, shares of organisations, and the updates that gateways receive.
 *
 * <p>Decision classes take typed inputs and times and hold no sockets or threads. No name of an
 * external wire format occurs in this package; a {@link org.crocushaven.fleet.ControlDialect}
 * decodes and encodes the calls of operators and backend servers.
 */
package org.crocushaven.fleet;
