/**
 * Checks the keys of callers against the configuration and the freshness bound, and filters
 * headers.
 *
 * <p>Never logs or stores a key.
 */
package org.crocushaven.security;
