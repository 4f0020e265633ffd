/**
 * Writes event log lines, keeps the decision log and collects metrics.
 *
 * <p>Secrets are never recorded.
 */
package org.crocushaven.observability;
