package org.crocushaven.publishing;

import java.util.HashMap;
import java.util.Map;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Adds a key grant for a published organisation. */
final class GrantKeyHandler implements ChangeHandler<GrantKey> {
    @Override
    public ConfigurationState apply(ConfigurationState state, GrantKey change) {
        final FleetConfiguration current = state.configuration();
        if (!current.organisations().containsKey(change.organisation())) {
            throw ResultException.of(ResultCode.UNKNOWN_ORGANISATION, change.organisation());
        }
        if (current.keys().containsKey(change.hash())) {
            throw ResultException.of(ResultCode.KEY_ALREADY_GRANTED);
        }
        if (change.label().length() > PublicationRules.MAXIMUM_LABEL_LENGTH) {
            throw ResultException.of(
                    ResultCode.CHANGE_INVALID,
                    "a label has at most " + PublicationRules.MAXIMUM_LABEL_LENGTH + " characters");
        }
        final Map<KeyHash, KeyGrant> keys = new HashMap<>(current.keys());
        keys.put(
                change.hash(),
                new KeyGrant(change.hash(), change.organisation(), change.label(), false));
        return state.with(current.withKeys(keys));
    }
}
