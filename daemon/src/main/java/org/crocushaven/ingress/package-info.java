/**
 * Models the requests of plain HTTP clients: routes by host and path, keys, declared sizes, and the
 * complete configuration under which they are served.
 *
 * <p>The package contains immutable data and pure lookups. It uses no sockets and no threads and
 * knows no names of a wire format; dialects decode into these types.
 */
package org.crocushaven.ingress;
