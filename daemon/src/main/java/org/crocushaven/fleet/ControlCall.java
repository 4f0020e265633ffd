package org.crocushaven.fleet;

import org.crocushaven.ingress.IngressConfiguration;

/** A call of an operator or a backend server. */
public interface ControlCall {
    /**
     * A backend server announces itself.
     *
     * @param announcement the announcement
     */
    record Announce(BackendAnnouncement announcement) implements ControlCall {}

    /**
     * An operator sends a configuration.
     *
     * @param configuration the configuration
     * @param document the configuration as it was sent
     */
    record Replace(IngressConfiguration configuration, byte[] document) implements ControlCall {}

    /** An operator asks for the configuration in force. */
    record Describe() implements ControlCall {}

    /**
     * An operator requires a version of an adapter.
     *
     * @param version the version
     */
    record RequireVersion(AdapterVersion version) implements ControlCall {}

    /**
     * An operator begins the evacuation of a failure domain, or takes it back.
     *
     * @param failureDomain the failure domain
     * @param begins whether the evacuation begins
     */
    record Evacuate(String failureDomain, boolean begins) implements ControlCall {}
}
