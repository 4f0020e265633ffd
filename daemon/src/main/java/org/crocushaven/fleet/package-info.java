/**
 * The control side of a fleet whose backend servers announce themselves: the complete configuration
 * and the adapter versions in a replicated log, the registry of backend servers, where adapters
 * sit, orders to engines, shares of organisations, and what gateways are told of all this.
 *
 * <p>Decision classes take typed inputs and times and hold no sockets or threads. Knows no name of
 * any wire format; a dialect decodes and encodes what leaves the fleet.
 */
package org.crocushaven.fleet;
