/**
 * Assembles, starts and stops an instance of a fleet whose backend servers announce themselves, and
 * loads its settings.
 *
 * <p>Independent of wire formats, which the dialects passed to it define.
 */
package org.crocushaven.instance;
