package org.crocushaven.configuration;

import java.util.List;

/**
 * An adapter for the base model of an engine service.
 *
 * @param name unique name
 * @param service the engine service whose backend servers serve the adapter
 * @param versions the published versions, oldest first, at least one
 * @param defaultVersion the version used when a request names none
 * @param organisations the organisations that may use the adapter; empty when all may
 */
public record Adapter(
        String name,
        String service,
        List<String> versions,
        String defaultVersion,
        List<String> organisations) {
    public Adapter {
        versions = List.copyOf(versions);
        organisations = List.copyOf(organisations);
    }
}
