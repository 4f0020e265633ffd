/**
 * Forwards client requests through a gateway: parsing and limits, admission, selection of a backend
 * server, sending, forwarding of answers, and recovery from failures.
 *
 * <p>Everything runs on one event loop, the only thread that uses its state; classes that only
 * decide use no sockets. Headers other than those of HTTP itself are read and written by an {@link
 * org.crocushaven.forwarding.IngressDialect}.
 */
package org.crocushaven.forwarding;
