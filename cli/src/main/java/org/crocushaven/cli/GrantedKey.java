package org.crocushaven.cli;

/**
 * Contains a key that was just granted.
 *
 * @param key the key, which is not shown again; empty when it was read from a file
 * @param identifier first digits of the key's hash
 * @param organisation the organisation for which requests with the key run
 * @param revision revision from which the key works
 */
record GrantedKey(String key, String identifier, String organisation, long revision) {
    Table table() {
        return Table.of("KEY", "IDENTIFIER", "ORGANISATION", "REVISION")
                .row(key, identifier, organisation, revision);
    }
}
