package org.crocushaven.status;

import org.crocushaven.configuration.KeyGrant;

/**
 * The status of a key grant.
 *
 * @param identifier first digits of the key's hash
 * @param organisation the organisation to which requests with the key belong
 * @param label text by which operators recognise the key
 * @param withdrawn whether the key has been withdrawn and is refused
 */
public record KeyStatus(String identifier, String organisation, String label, boolean withdrawn) {
    /** Returns the status of a grant. */
    public static KeyStatus of(KeyGrant grant) {
        return new KeyStatus(
                grant.hash().identifier(), grant.organisation(), grant.label(), grant.withdrawn());
    }
}
