/**
 * Numbered result codes, their message texts and the exception that carries them.
 *
 * <p>Every refusal and failure that a process reports has a {@link
 * org.crocushaven.result.ResultCode}. This package does not depend on HTTP servers, sockets or the
 * fleet.
 */
package org.crocushaven.result;
