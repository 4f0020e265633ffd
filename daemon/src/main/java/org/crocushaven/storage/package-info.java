/**
 * Implements the data folder: records with checksums, sync, recovery and snapshots.
 *
 * <p>Does not depend on the consensus package.
 */
package org.crocushaven.storage;
