package org.crocushaven.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Checks a single publication, independently of the publications of other publishers. */
public final class PublicationProblems {
    private final List<String> problems = new ArrayList<>();
    private final Set<List<String>> checkedVersions = new HashSet<>();

    private PublicationProblems() {}

    /** Returns a description of every problem; empty when the publication is valid. */
    public static List<String> of(PublishServices publication) {
        final PublicationProblems found = new PublicationProblems();
        found.checkName("publisher", publication.publisher());
        publication.services().forEach(found::checkService);
        publication.organisations().forEach(found::checkOrganisation);
        publication.adapters().forEach(found::checkAdapter);
        found.checkDuplicates("service", publication.services(), Service::name);
        found.checkDuplicates("organisation", publication.organisations(), Organisation::name);
        found.checkDuplicates("adapter", publication.adapters(), Adapter::name);
        if (publication.adapters().size() > PublicationRules.MAXIMUM_ADAPTERS) {
            found.add("more than " + PublicationRules.MAXIMUM_ADAPTERS + " adapters");
        }
        return List.copyOf(found.problems);
    }

    private void checkService(Service service) {
        checkName("service", service.name());
        if (service.kind() == Service.Kind.ENGINE) {
            checkEngineService(service);
        } else {
            checkPlainService(service);
        }
    }

    private void checkEngineService(Service service) {
        if (!PublicationRules.MODEL.matcher(service.baseModel()).matches()) {
            add("service " + service.name() + ": base model: " + PublicationRules.MODEL_ALLOWED);
        }
        if (!service.routes().isEmpty()) {
            add("service " + service.name() + ": an engine service has no routes");
        }
    }

    private void checkPlainService(Service service) {
        if (!service.baseModel().isEmpty() || !service.residentAdapters().isEmpty()) {
            add("service " + service.name() + ": a plain service has no base model or adapters");
        }
        if (service.routes().isEmpty()) {
            add("service " + service.name() + ": a plain service has routes");
        }
        service.routes().forEach(route -> checkRoute(service, route));
        checkDuplicates(
                "route of service " + service.name(),
                service.routes(),
                route -> route.method() + " " + route.path());
    }

    private void checkRoute(Service service, Route route) {
        final String subject = "service " + service.name() + ": route " + route.path() + ": ";
        if (!PublicationRules.METHODS.contains(route.method())) {
            add(subject + "methods: " + String.join(", ", PublicationRules.METHODS));
        }
        if (!PublicationRules.PATH.matcher(route.path()).matches()) {
            add(subject + "paths: " + PublicationRules.PATH_ALLOWED);
        }
        checkRange(
                subject + "timeout_millis",
                route.timeoutMillis(),
                PublicationRules.MINIMUM_ROUTE_TIMEOUT_MILLIS,
                PublicationRules.MAXIMUM_ROUTE_TIMEOUT_MILLIS);
        checkRange(subject + "tokens", route.tokens(), 0, PublicationRules.MAXIMUM_TOKENS);
    }

    private void checkOrganisation(Organisation organisation) {
        checkName("organisation", organisation.name());
        final String subject = "organisation " + organisation.name() + ": ";
        final long maximumTokens = PublicationRules.MAXIMUM_TOKENS;
        checkRange(subject + "tokens_per_second", organisation.tokensPerSecond(), 1, maximumTokens);
        checkRange(subject + "burst_tokens", organisation.burstTokens(), 1, maximumTokens);
        checkRange(subject + "weight", organisation.weight(), 1, PublicationRules.MAXIMUM_WEIGHT);
    }

    private void checkAdapter(Adapter adapter) {
        checkName("adapter", adapter.name());
        // Most adapters share their list of versions with others, so each list is checked only
        // once.
        if (checkedVersions.add(adapter.versions())) {
            checkVersions(adapter);
        }
        if (!adapter.versions().contains(adapter.defaultVersion())) {
            add("adapter " + adapter.name() + ": the default version is one of the versions");
        }
    }

    private void checkVersions(Adapter adapter) {
        if (adapter.versions().isEmpty()) {
            add("adapter " + adapter.name() + ": at least one version");
        }
        adapter.versions().forEach(version -> checkName("version of " + adapter.name(), version));
        checkDuplicates(
                "version of adapter " + adapter.name(), adapter.versions(), version -> version);
    }

    private <T> void checkDuplicates(String subject, List<T> parts, Function<T, String> nameOf) {
        final Set<String> seen = new HashSet<>();
        for (final T part : parts) {
            if (!seen.add(nameOf.apply(part))) {
                add(subject + " " + nameOf.apply(part) + " stands twice");
            }
        }
    }

    private void checkName(String subject, String name) {
        if (!PublicationRules.NAME.matcher(name).matches()) {
            add(subject + " name: " + PublicationRules.NAME_ALLOWED);
        }
    }

    private void checkRange(String subject, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            add(subject + " " + value + ": allowed: " + minimum + " to " + maximum);
        }
    }

    private void add(String problem) {
        problems.add(problem);
    }
}
