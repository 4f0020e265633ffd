/**
 * Admission control: token buckets, shares of the rates and bursts of organisations, fair queues
 * and the load budget.
 *
 * <p>The classes of this package use no sockets, files or threads.
 */
package org.crocushaven.admission;
