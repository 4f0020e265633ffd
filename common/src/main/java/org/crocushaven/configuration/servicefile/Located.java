package org.crocushaven.configuration.servicefile;

import org.crocushaven.configuration.check.TomlNode;

/**
 * A value with the file and the node from which it was read.
 *
 * @param file name of the file
 * @param node node in the file
 * @param value the value
 */
record Located<T>(String file, TomlNode node, T value) {}
