/**
 * Reads and checks service files and collects them into one publication.
 *
 * <p>The package only reads files; it does not send the publication.
 */
package org.crocushaven.configuration.servicefile;
