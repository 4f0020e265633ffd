/**
 * Implements the replicated configuration: applies committed changes in order and notifies
 * listeners.
 *
 * <p>Applying commands is deterministic: the same commands produce the same state on every
 * instance. The package uses no sockets, files or clocks and does not depend on how commands are
 * replicated.
 */
package org.crocushaven.publishing;
