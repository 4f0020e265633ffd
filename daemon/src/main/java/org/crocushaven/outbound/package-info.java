/**
 * Manages connections to backend servers over plain HTTP: pooling, reuse and abort, with one
 * request at a time. {@link org.crocushaven.outbound.AnswerDecoder} serves the other client of
 * backend servers too, so that both refuse the same answers.
 *
 * <p>This package does not depend on routes or on the commands to engines. It passes to the
 * listener of a request what was received, and whether the request may have reached the backend
 * server.
 */
package org.crocushaven.outbound;
