/**
 * Requests of plain HTTP clients as this system understands them: routes by host and path, keys,
 * declared sizes, and the complete configuration under which they are served.
 *
 * <p>Immutable data and pure lookups. Knows no socket, no thread and no name of any wire format;
 * dialects decode into these types.
 */
package org.crocushaven.ingress;
