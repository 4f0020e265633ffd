/**
 * Implements the protocol between instances: frames, codec, message types and transport.
 *
 * <p>No other package may encode or decode messages between instances.
 */
package org.crocushaven.protocol;
