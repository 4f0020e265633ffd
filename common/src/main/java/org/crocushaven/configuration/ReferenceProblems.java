package org.crocushaven.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that services and adapters refer only to published names and that names of base models are
 * unique.
 */
public final class ReferenceProblems {
    private final Map<String, Service> services;
    private final Map<String, Organisation> organisations;
    private final Map<String, Adapter> adapters;
    private final List<String> problems = new ArrayList<>();

    private ReferenceProblems(
            Map<String, Service> services,
            Map<String, Organisation> organisations,
            Map<String, Adapter> adapters) {
        this.services = services;
        this.organisations = organisations;
        this.adapters = adapters;
    }

    /**
     * Returns a description of every problem, sorted, so that the order depends only on the names.
     */
    public static List<String> of(
            Map<String, Service> services,
            Map<String, Organisation> organisations,
            Map<String, Adapter> adapters) {
        final ReferenceProblems found = new ReferenceProblems(services, organisations, adapters);
        final Collection<Service> sortedServices = new TreeMap<>(services).values();
        sortedServices.forEach(found::checkResidentAdapters);
        found.checkBaseModels(sortedServices);
        adapters.values().forEach(found::checkAdapter);
        return found.problems.stream().sorted().toList();
    }

    private void checkResidentAdapters(Service service) {
        for (final AdapterVersion resident : service.residentAdapters()) {
            final Adapter adapter = adapters.get(resident.adapter());
            final boolean isServed =
                    adapter != null
                            && adapter.service().equals(service.name())
                            && adapter.versions().contains(resident.version());
            if (!isServed) {
                problems.add(
                        "service "
                                + service.name()
                                + ": no adapter version "
                                + resident
                                + " of it");
            }
        }
    }

    private void checkBaseModels(Collection<Service> sortedServices) {
        final Map<String, String> serviceByModel = new HashMap<>();
        for (final Service service : sortedServices) {
            if (service.kind() != Service.Kind.ENGINE) {
                continue;
            }
            final String other = serviceByModel.putIfAbsent(service.baseModel(), service.name());
            if (other != null) {
                problems.add(
                        "service "
                                + service.name()
                                + ": the base model "
                                + service.baseModel()
                                + " is that of "
                                + other);
            }
            if (adapters.containsKey(service.baseModel())) {
                problems.add("adapter " + service.baseModel() + ": a base model has this name");
            }
        }
    }

    private void checkAdapter(Adapter adapter) {
        final Service service = services.get(adapter.service());
        if (service == null || service.kind() != Service.Kind.ENGINE) {
            problems.add("adapter " + adapter.name() + ": no engine service " + adapter.service());
        }
        for (final String organisation : adapter.organisations()) {
            if (!organisations.containsKey(organisation)) {
                problems.add("adapter " + adapter.name() + ": no organisation " + organisation);
            }
        }
    }
}
