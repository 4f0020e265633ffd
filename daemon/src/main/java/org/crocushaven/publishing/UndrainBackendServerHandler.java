package org.crocushaven.publishing;

import java.util.HashSet;
import java.util.Set;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Removes a backend server from the drained ones. */
final class UndrainBackendServerHandler implements ChangeHandler<UndrainBackendServer> {
    @Override
    public ConfigurationState apply(ConfigurationState state, UndrainBackendServer change) {
        final FleetConfiguration current = state.configuration();
        final Set<String> drained = new HashSet<>(current.drained());
        if (!drained.remove(change.name())) {
            throw ResultException.of(ResultCode.UNKNOWN_BACKEND_SERVER, change.name());
        }
        return state.with(current.withDrained(drained));
    }
}
