/**
 * The command-line tool for operators.
 *
 * <p>Each command is a class of its own; commands access the operator port only through {@link
 * org.crocushaven.cli.OperatorClient}. The package shares only common code, such as configuration
 * and status records, with the daemon.
 */
package org.crocushaven.cli;
