/**
 * The published configuration of the fleet: services, organisations, adapters and key hashes.
 *
 * <p>Contains immutable data and its validation, and does not depend on sockets, HTTP or
 * replication.
 */
package org.crocushaven.configuration;
