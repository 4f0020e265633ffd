package org.crocushaven.configuration.servicefile;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.check.Violation;
import org.crocushaven.configuration.check.ViolationLog;

/**
 * Checks that every service, organisation and adapter version that is referred to is defined in the
 * collected files, and that no two engine services have the same base model.
 */
final class ReferencesCheck implements CollectionCheck {
    private static final String MESSAGE_ORGANISATION = "reference.organisation";
    private static final String MESSAGE_SERVICE = "reference.service";
    private static final String MESSAGE_ADAPTER = "reference.adapter";
    private static final String MESSAGE_MODEL = "reference.model";

    @Override
    public void check(ServiceFile collected, List<Violation> violations) {
        checkAdapters(collected, violations);
        checkResidents(collected, violations);
        checkModels(collected, violations);
    }

    private static void checkAdapters(ServiceFile collected, List<Violation> violations) {
        final Set<String> organisations =
                collected.organisations().stream()
                        .map(located -> located.value().name())
                        .collect(Collectors.toCollection(TreeSet::new));
        final Set<String> engines =
                collected.services().stream()
                        .map(Located::value)
                        .filter(service -> service.kind() == Service.Kind.ENGINE)
                        .map(Service::name)
                        .collect(Collectors.toCollection(TreeSet::new));
        final Set<String> checkedLines = new HashSet<>();
        for (final Located<Adapter> adapter : collected.adapters()) {
            // The adapters of a series share a line and their references, so that one of them is
            // checked for all.
            if (!checkedLines.add(adapter.file() + ":" + adapter.node().line())) {
                continue;
            }
            final ViolationLog log = logOf(adapter, violations);
            if (!engines.contains(adapter.value().service())) {
                log.add(
                        adapter.node(),
                        MESSAGE_SERVICE,
                        adapter.value().service(),
                        String.join(", ", engines));
            }
            adapter.value().organisations().stream()
                    .filter(name -> !organisations.contains(name))
                    .forEach(
                            name ->
                                    log.add(
                                            adapter.node(),
                                            MESSAGE_ORGANISATION,
                                            name,
                                            String.join(", ", organisations)));
        }
    }

    private static void checkResidents(ServiceFile collected, List<Violation> violations) {
        final Map<String, Adapter> adapters = new HashMap<>();
        collected.adapters().forEach(each -> adapters.put(each.value().name(), each.value()));
        for (final Located<Service> service : collected.services()) {
            for (final AdapterVersion resident : service.value().residentAdapters()) {
                final Adapter adapter = adapters.get(resident.adapter());
                final boolean isServed =
                        adapter != null
                                && adapter.service().equals(service.value().name())
                                && adapter.versions().contains(resident.version());
                if (!isServed) {
                    logOf(service, violations)
                            .add(service.node(), MESSAGE_ADAPTER, resident, service.value().name());
                }
            }
        }
    }

    private static void checkModels(ServiceFile collected, List<Violation> violations) {
        final Map<String, String> serviceByModel = new HashMap<>();
        for (final Located<Service> service : collected.services()) {
            if (service.value().kind() != Service.Kind.ENGINE) {
                continue;
            }
            final String model = service.value().baseModel();
            final String other = serviceByModel.putIfAbsent(model, service.value().name());
            if (other != null) {
                logOf(service, violations).add(service.node(), MESSAGE_MODEL, model, other);
            }
        }
    }

    private static ViolationLog logOf(Located<?> located, List<Violation> violations) {
        return ViolationLog.of(located.file(), ReferencesCheck.class, violations);
    }
}
