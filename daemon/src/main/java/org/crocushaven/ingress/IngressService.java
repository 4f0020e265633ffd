package org.crocushaven.ingress;

import java.util.Optional;
import org.crocushaven.coldstart.ColdStartBound;

/**
 * Describes a service to which routes send requests.
 *
 * @param name name of the service
 * @param maximumConnections maximum number of connections that one backend server accepts from all
 *     instances together
 * @param engine present when its backend servers are model engines
 * @param coldStart what its backend servers bear while they are cold; empty if that is not bounded
 */
public record IngressService(
        String name,
        int maximumConnections,
        Optional<EngineProfile> engine,
        Optional<ColdStartBound> coldStart) {}
