package org.crocushaven.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A published service: a group of backend servers that serve the same requests.
 *
 * @param name unique name
 * @param kind whether the backend servers are model engines or plain servers
 * @param baseModel the base model of an engine service; empty for a plain service
 * @param open whether generation on the base model needs no key (engine services)
 * @param residentAdapters adapter versions, as {@code adapter@version}, that every failure domain
 *     keeps loaded and that are never evicted while listed; they can be used without a key when the
 *     service is open
 * @param routes the routes of a plain service; empty for an engine service
 */
public record Service(
        String name,
        Kind kind,
        String baseModel,
        boolean open,
        List<AdapterVersion> residentAdapters,
        List<Route> routes) {
    public Service {
        residentAdapters = List.copyOf(residentAdapters);
        routes = List.copyOf(routes);
    }

    /** The kinds of services. */
    public enum Kind {
        /** Model engines that load adapters. */
        @JsonProperty("engine")
        ENGINE,
        /** Plain HTTP servers. */
        @JsonProperty("plain")
        PLAIN
    }
}
