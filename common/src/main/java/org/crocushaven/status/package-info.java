/**
 * Bodies of the responses of the operator port, which describe the state of the fleet.
 *
 * <p>Contains immutable data that the daemon and the command-line tool share, without secrets.
 */
package org.crocushaven.status;
