package org.crocushaven.ingress;

import java.util.Optional;

/**
 * A service to which routes lead.
 *
 * @param name its name
 * @param maximumConnections connections that one backend server accepts from all instances together
 * @param engine present when its backend servers are model engines
 */
public record IngressService(String name, int maximumConnections, Optional<EngineProfile> engine) {}
