/**
 * Stand-ins for the systems that the fleet uses: model engines, plain services and the weight
 * store.
 *
 * <p>Each implements the protocol of {@code docs/INTERFACES.md} and keeps a log of what it ran, so
 * that tests can compare the answers callers got with what happened. The package does not depend on
 * the daemon.
 */
package org.crocushaven.bench.standin;
