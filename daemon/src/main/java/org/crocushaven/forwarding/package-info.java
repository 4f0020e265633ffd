/**
 * Forwards client requests through a gateway: parsing and limits, admission, selection of a backend
 * server, sending, forwarding of answers, and recovery from failures.
 *
 * <p>Everything runs on one event loop, the only thread that uses its state; decision classes hold
 * no sockets. This package knows no headers of a wire format: a dialect reads and writes them.
 */
package org.crocushaven.forwarding;
