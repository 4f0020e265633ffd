/**
 * An instance of a fleet whose backend servers announce themselves: its settings, and how its parts
 * are put together, started and stopped.
 *
 * <p>Knows no wire format; the dialects are handed to it.
 */
package org.crocushaven.instance;
