package org.crocushaven.status;

/**
 * A decision with the instance and the time at which it was made.
 *
 * @param instance name of the instance that made it
 * @param epochMillis time of the decision on the clock of that instance, in milliseconds since the
 *     epoch
 * @param line log line of the decision
 */
public record ExplainedDecision(String instance, long epochMillis, String line) {}
