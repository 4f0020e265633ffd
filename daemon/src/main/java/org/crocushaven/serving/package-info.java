/**
 * Serves requests of callers in stages: target, key, charge, claim, permit, backend server.
 *
 * <p>Uses the decision classes of {@code security}, {@code admission}, {@code once}, {@code
 * routing} and, through their dispatchers, {@code placement}. Does not depend on HTTP.
 */
package org.crocushaven.serving;
