/**
 * Evacuations of failure domains: which domains an operator has ordered to be left alone, as part
 * of the replicated state.
 *
 * <p>Knows neither backend servers nor requests; those who choose among them ask it.
 */
package org.crocushaven.evacuation;
