/**
 * Sessions of instances with the leader, and the dispatcher assignments, shares and load grants
 * that they carry.
 *
 * <p>The service runs on the leader of group 0, the client on every instance.
 */
package org.crocushaven.coordination;
