package org.crocushaven.status;

import java.util.List;
import java.util.Map;
import org.crocushaven.configuration.Adapter;

/**
 * An adapter and the backend servers on which its versions are loaded.
 *
 * @param name unique name
 * @param service the engine service that serves it
 * @param versions the published versions
 * @param defaultVersion the version used when a request names none
 * @param organisations the organisations that may use it; empty when all may
 * @param loadedOn by loaded version, the names of the backend servers on which it is loaded
 */
public record AdapterStatus(
        String name,
        String service,
        List<String> versions,
        String defaultVersion,
        List<String> organisations,
        Map<String, List<String>> loadedOn) {
    public AdapterStatus {
        versions = List.copyOf(versions);
        organisations = List.copyOf(organisations);
        loadedOn = Map.copyOf(loadedOn);
    }

    /** Returns the status of an adapter. */
    public static AdapterStatus of(Adapter adapter, Map<String, List<String>> loadedOn) {
        return new AdapterStatus(
                adapter.name(),
                adapter.service(),
                adapter.versions(),
                adapter.defaultVersion(),
                adapter.organisations(),
                loadedOn);
    }
}
