package org.crocushaven.publishing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyGrant;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.configuration.PublishServices;

/**
 * Holds the complete replicated configuration in a form whose encoding is identical on every
 * instance.
 *
 * @param revision revision of the configuration
 * @param publications publications by publisher
 * @param keys key grants, withdrawn ones included
 * @param drained names of drained backend servers
 * @param answers answers kept, oldest first
 * @param forgotten highest forgotten change number of each operator, see {@link AnswerWindow}
 */
record ConfigurationSnapshot(
        long revision,
        List<PublishServices> publications,
        List<KeyGrant> keys,
        List<String> drained,
        List<RememberedAnswer> answers,
        Map<String, Long> forgotten) {
    static ConfigurationSnapshot of(ConfigurationState state, AnswerWindow window) {
        final FleetConfiguration configuration = state.configuration();
        return new ConfigurationSnapshot(
                configuration.revision(),
                List.copyOf(new TreeMap<>(state.publications()).values()),
                configuration.keys().values().stream()
                        .sorted(Comparator.comparing(grant -> grant.hash().hex()))
                        .toList(),
                configuration.drained().stream().sorted().toList(),
                window.rememberedAnswers(),
                new TreeMap<>(window.highestForgottenNumbers()));
    }

    /** Returns the configuration state stored in the snapshot. */
    ConfigurationState state() {
        final Map<String, PublishServices> byPublisher = new HashMap<>();
        for (final PublishServices publication : publications) {
            byPublisher.put(publication.publisher(), StringPool.share(publication));
        }
        final PublicationUnion union = PublicationUnion.of(byPublisher.values(), revision);
        final Map<KeyHash, KeyGrant> grants = new HashMap<>();
        keys.forEach(grant -> grants.put(grant.hash(), grant));
        return new ConfigurationState(
                new FleetConfiguration(
                        revision,
                        union.services(),
                        union.organisations(),
                        union.adapters(),
                        grants,
                        new HashSet<>(drained)),
                byPublisher);
    }

    /** Returns an answer window with the answers stored in the snapshot. */
    AnswerWindow window(int capacity) {
        return AnswerWindow.of(capacity, answers, forgotten);
    }
}
