/**
 * Assembles, starts and stops an instance of a fleet whose backend servers announce themselves, and
 * loads its settings.
 *
 * <p>The dialects that are passed to it define the wire formats.
 */
package org.crocushaven.instance;
