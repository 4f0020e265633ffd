/**
 * Regions in which requests may run and to which their bodies may be sent.
 *
 * <p>Contains the constraint only; those who choose backend servers or gateways apply it.
 */
package org.crocushaven.residency;
