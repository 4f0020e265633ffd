package org.crocushaven.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The complete configuration in force at one revision.
 *
 * @param revision number of changes accepted so far; increases by one with each accepted change
 * @param services services by name
 * @param organisations organisations by name
 * @param adapters adapters by name
 * @param keys key grants by hash, withdrawn ones included
 * @param drained names of backend servers that operators have drained
 */
public record FleetConfiguration(
        long revision,
        Map<String, Service> services,
        Map<String, Organisation> organisations,
        Map<String, Adapter> adapters,
        Map<KeyHash, KeyGrant> keys,
        Set<String> drained) {
    public FleetConfiguration {
        services = Map.copyOf(services);
        organisations = Map.copyOf(organisations);
        adapters = Map.copyOf(adapters);
        keys = Map.copyOf(keys);
        drained = Set.copyOf(drained);
    }

    /** Returns the empty configuration, at revision 0. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), Map.of(), Set.of());
    }

    /**
     * Returns the grant of a key, whether or not it is withdrawn; empty when the key is unknown.
     */
    public Optional<KeyGrant> key(KeyHash hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /** Returns the next revision with the given services, organisations and adapters. */
    public FleetConfiguration withPublished(
            Map<String, Service> newServices,
            Map<String, Organisation> newOrganisations,
            Map<String, Adapter> newAdapters) {
        return new FleetConfiguration(
                revision + 1, newServices, newOrganisations, newAdapters, keys, drained);
    }

    /** Returns the next revision with the given key grants. */
    public FleetConfiguration withKeys(Map<KeyHash, KeyGrant> newKeys) {
        return new FleetConfiguration(
                revision + 1, services, organisations, adapters, newKeys, drained);
    }

    /** Returns the next revision with the given drained backend servers. */
    public FleetConfiguration withDrained(Set<String> newDrained) {
        return new FleetConfiguration(
                revision + 1, services, organisations, adapters, keys, newDrained);
    }
}
