/**
 * Runs the dispatchers of this instance, which grant permits over the inner protocol and send
 * orders to backend servers.
 *
 * <p>Passes inputs to the placement decisions in {@link org.crocushaven.placement} and executes
 * their actions; makes no placement decision itself.
 */
package org.crocushaven.dispatch;
