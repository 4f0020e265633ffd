package org.crocushaven.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.EpochClock;

/**
 * Contains the streams, environment, clock and random source that the tool uses.
 *
 * @param output stream for results
 * @param errors stream for errors and notes to the operator
 * @param environment environment variables
 * @param clock wall clock; its time numbers a change for which no number is given
 * @param random source of new keys; must be cryptographically strong
 */
record Console(
        PrintStream output,
        PrintStream errors,
        Map<String, String> environment,
        EpochClock clock,
        RandomGenerator random) {}
