package org.crocushaven.fleet;

/**
 * Identifies a load of an adapter.
 *
 * @param backend engine that loads
 * @param key adapter that it loads
 */
record LoadPlace(String backend, AdapterKey key) {}
