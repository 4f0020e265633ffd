package org.crocushaven.configuration;

/**
 * Grants a key to an organisation; a key that was granted before cannot be granted again.
 *
 * @param hash the key's hash
 * @param organisation the organisation to which requests with the key belong
 * @param label text by which operators recognise the key
 */
public record GrantKey(KeyHash hash, String organisation, String label) implements Change {}
