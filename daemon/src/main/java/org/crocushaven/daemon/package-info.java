/**
 * Assembles the daemon from the other packages.
 *
 * <p>No other package of the daemon depends on this one.
 */
package org.crocushaven.daemon;
