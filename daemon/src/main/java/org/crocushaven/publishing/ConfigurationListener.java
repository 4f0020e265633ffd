package org.crocushaven.publishing;

import org.crocushaven.configuration.FleetConfiguration;

/** Is notified of each configuration that comes into force. */
public interface ConfigurationListener {
    /**
     * Handles a configuration that has come into force. It is called on the thread that applies
     * commands, once the configuration can be read, and must not block.
     */
    void configurationApplied(FleetConfiguration configuration);
}
