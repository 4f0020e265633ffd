package org.crocushaven.ingress;

import java.util.Optional;

/**
 * Describes a service to which routes send requests.
 *
 * @param name name of the service
 * @param maximumConnections maximum number of connections that one backend server accepts from all
 *     instances together
 * @param engine present when its backend servers are model engines
 */
public record IngressService(String name, int maximumConnections, Optional<EngineProfile> engine) {}
