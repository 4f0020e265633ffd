/**
 * The path of a client's request through a gateway: parsing and bounds, admission, the choice of a
 * backend server, sending, passing answers back, and going on after failures.
 *
 * <p>All of it runs on one event loop, which is the only thread that touches its state; decision
 * classes hold no sockets. Knows no header of any wire format: a dialect reads and writes them.
 */
package org.crocushaven.forwarding;
