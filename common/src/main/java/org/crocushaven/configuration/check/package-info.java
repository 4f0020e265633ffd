/**
 * Checks of TOML files: an engine that walks a document and dispatches its nodes to small checks.
 *
 * <p>The engine does not depend on particular checks, and each check implements a single rule.
 * Message texts are in {@code messages.properties} in the package of the check. The package is used
 * for settings and for service files and defines the keys of neither.
 */
package org.crocushaven.configuration.check;
