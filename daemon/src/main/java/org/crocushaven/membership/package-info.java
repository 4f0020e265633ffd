/**
 * Tracks which instances exist and which are alive.
 *
 * <p>Instances are discovered through seeds and through the records that probes carry.
 */
package org.crocushaven.membership;
