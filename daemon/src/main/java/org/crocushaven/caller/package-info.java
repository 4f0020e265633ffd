/**
 * Serves callers over HTTP: parses requests, streams answers and sends refusals.
 *
 * <p>Each parsed request is passed to a {@link org.crocushaven.caller.CallerHandler}. This package
 * must not depend on how requests are routed.
 */
package org.crocushaven.caller;
