package org.crocushaven.publishing;

import java.util.HashSet;
import java.util.Set;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Adds a backend server to the drained ones, whether or not it is currently announced. */
final class DrainBackendServerHandler implements ChangeHandler<DrainBackendServer> {
    @Override
    public ConfigurationState apply(ConfigurationState state, DrainBackendServer change) {
        if (!PublicationRules.NAME.matcher(change.name()).matches()) {
            throw ResultException.of(
                    ResultCode.CHANGE_INVALID,
                    "names of backend servers: " + PublicationRules.NAME_ALLOWED);
        }
        final FleetConfiguration current = state.configuration();
        final Set<String> drained = new HashSet<>(current.drained());
        drained.add(change.name());
        return state.with(current.withDrained(drained));
    }
}
