/**
 * At-most-once execution of calls that may not be repeated.
 *
 * <p>The claims are kept in a replicated state machine, {@link org.crocushaven.once.ClaimTable}.
 */
package org.crocushaven.once;
