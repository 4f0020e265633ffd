package org.crocushaven.publishing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.WithdrawKey;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Marks a key grant as withdrawn. The grant is kept, so that the key cannot be granted again. */
final class WithdrawKeyHandler implements ChangeHandler<WithdrawKey> {
    private static final Pattern HASH_PREFIX = Pattern.compile("[0-9a-f]{8,64}");

    @Override
    public ConfigurationState apply(ConfigurationState state, WithdrawKey change) {
        final FleetConfiguration current = state.configuration();
        final KeyGrant grant = find(current, change.key());
        final Map<KeyHash, KeyGrant> keys = new HashMap<>(current.keys());
        keys.put(
                grant.hash(),
                new KeyGrant(grant.hash(), grant.organisation(), grant.label(), true));
        return state.with(current.withKeys(keys));
    }

    private static KeyGrant find(FleetConfiguration current, String hashPrefix) {
        if (!HASH_PREFIX.matcher(hashPrefix).matches()) {
            throw ResultException.of(
                    ResultCode.CHANGE_INVALID, "a key is named by 8 to 64 digits of its hash");
        }
        final List<KeyGrant> matches =
                current.keys().values().stream()
                        .filter(grant -> grant.hash().hex().startsWith(hashPrefix))
                        .limit(2)
                        .toList();
        if (matches.isEmpty()) {
            throw ResultException.of(ResultCode.UNKNOWN_KEY, shortIdentifier(hashPrefix));
        }
        if (matches.size() > 1) {
            throw ResultException.of(
                    ResultCode.KEY_IDENTIFIER_AMBIGUOUS, shortIdentifier(hashPrefix));
        }
        return matches.get(0);
    }

    private static String shortIdentifier(String hashPrefix) {
        return hashPrefix.substring(0, KeyHash.IDENTIFIER_LENGTH);
    }
}
