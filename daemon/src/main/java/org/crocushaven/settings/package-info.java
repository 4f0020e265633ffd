/**
 * Reads and validates the daemon's settings and supplies their defaults.
 *
 * <p>Independent of the running daemon.
 */
package org.crocushaven.settings;
