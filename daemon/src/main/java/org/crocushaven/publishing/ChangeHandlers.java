package org.crocushaven.publishing;

import java.util.Map;
import org.crocushaven.configuration.Change;
import org.crocushaven.configuration.DrainBackendServer;
import org.crocushaven.configuration.GrantKey;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.UndrainBackendServer;
import org.crocushaven.configuration.WithdrawKey;

/** Dispatches changes to the handler of their type. */
final class ChangeHandlers {
    private final Map<Class<? extends Change>, ChangeHandler<? extends Change>> handlers =
            Map.of(
                    PublishServices.class, new PublishServicesHandler(),
                    GrantKey.class, new GrantKeyHandler(),
                    WithdrawKey.class, new WithdrawKeyHandler(),
                    DrainBackendServer.class, new DrainBackendServerHandler(),
                    UndrainBackendServer.class, new UndrainBackendServerHandler());

    /** Applies a change with the handler of its type. */
    ConfigurationState apply(ConfigurationState state, Change change) {
        return applyTyped(state, change);
    }

    @SuppressWarnings("unchecked") // the map pairs each class with a handler of that class
    private <C extends Change> ConfigurationState applyTyped(ConfigurationState state, C change) {
        final ChangeHandler<C> handler = (ChangeHandler<C>) handlers.get(change.getClass());
        return handler.apply(state, change);
    }
}
