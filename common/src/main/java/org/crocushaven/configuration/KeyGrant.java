package org.crocushaven.configuration;

/**
 * A key that was granted to an organisation.
 *
 * @param hash the key's hash
 * @param organisation the organisation to which requests with the key belong
 * @param label text by which operators recognise the key
 * @param withdrawn whether the key has been withdrawn and is refused
 */
public record KeyGrant(KeyHash hash, String organisation, String label, boolean withdrawn) {}
