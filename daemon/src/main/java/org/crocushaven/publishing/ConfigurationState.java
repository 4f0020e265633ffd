package org.crocushaven.publishing;

import java.util.Map;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.PublishServices;

/**
 * Holds the configuration in force and the publications it was built from.
 *
 * @param configuration the configuration in force
 * @param publications the last accepted publication of each publisher, by its name
 */
record ConfigurationState(
        FleetConfiguration configuration, Map<String, PublishServices> publications) {
    ConfigurationState {
        publications = Map.copyOf(publications);
    }

    static ConfigurationState empty() {
        return new ConfigurationState(FleetConfiguration.empty(), Map.of());
    }

    /** Returns a state with the same publications and the given configuration. */
    ConfigurationState with(FleetConfiguration changed) {
        return new ConfigurationState(changed, publications);
    }
}
