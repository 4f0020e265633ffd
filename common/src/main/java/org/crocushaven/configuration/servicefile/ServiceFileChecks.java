package org.crocushaven.configuration.servicefile;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.crocushaven.configuration.PublicationRules;
import org.crocushaven.configuration.check.Check;
import org.crocushaven.configuration.check.DistinctElementsCheck;
import org.crocushaven.configuration.check.OneOfCheck;
import org.crocushaven.configuration.check.PatternCheck;
import org.crocushaven.configuration.check.RangeCheck;
import org.crocushaven.configuration.check.RequiredKeyCheck;
import org.crocushaven.configuration.check.SizeCheck;
import org.crocushaven.configuration.check.UnknownKeyCheck;
import org.crocushaven.configuration.check.ValueTypeCheck;

/** Provides the checks that apply to a single service file. */
final class ServiceFileChecks {
    private static final int MAXIMUM_ROUTES = 200;
    private static final int MAXIMUM_VERSIONS = 64;
    private static final Pattern ADAPTER_VERSION = Pattern.compile("[^@]+@[^@]+");

    private ServiceFileChecks() {}

    /** Returns every check. */
    static List<Check> all() {
        final List<Check> checks = new ArrayList<>();
        checks.add(UnknownKeyCheck.of(ServiceFileKeys.ALL));
        checks.add(ValueTypeCheck.of(ServiceFileKeys.ALL));
        checks.add(RequiredKeyCheck.of(ServiceFileKeys.ALL));
        addServiceChecks(checks);
        addRouteChecks(checks);
        addOrganisationChecks(checks);
        checks.add(PatternCheck.name("adapters[].name"));
        addAdapterChecks(checks, "adapters[]");
        checks.add(
                PatternCheck.of(
                        "adapter_series[].prefix",
                        PublicationRules.SERIES_PREFIX,
                        PublicationRules.SERIES_PREFIX_ALLOWED));
        checks.add(RangeCheck.of("adapter_series[].count", 1, AdapterSeries.MAXIMUM_COUNT));
        addAdapterChecks(checks, "adapter_series[]");
        return checks;
    }

    private static void addServiceChecks(List<Check> checks) {
        checks.add(PatternCheck.name("service.name"));
        checks.add(
                OneOfCheck.of(
                        "service.kind",
                        List.of(ServiceFileKeys.KIND_ENGINE, ServiceFileKeys.KIND_PLAIN)));
        checks.add(
                PatternCheck.of(
                        "service.base_model",
                        PublicationRules.MODEL,
                        PublicationRules.MODEL_ALLOWED));
        checks.add(
                PatternCheck.of("service.resident_adapters[]", ADAPTER_VERSION, "adapter@version"));
        checks.add(DistinctElementsCheck.ofTexts("service.resident_adapters"));
        checks.add(ServiceKindCheck.create());
    }

    private static void addRouteChecks(List<Check> checks) {
        checks.add(SizeCheck.of("service.routes", 1, MAXIMUM_ROUTES));
        checks.add(OneOfCheck.of("service.routes[].method", PublicationRules.METHODS));
        checks.add(
                PatternCheck.of(
                        "service.routes[].path",
                        PublicationRules.PATH,
                        PublicationRules.PATH_ALLOWED));
        checks.add(
                RangeCheck.of(
                        "service.routes[].timeout_millis",
                        PublicationRules.MINIMUM_ROUTE_TIMEOUT_MILLIS,
                        PublicationRules.MAXIMUM_ROUTE_TIMEOUT_MILLIS));
        checks.add(RangeCheck.of("service.routes[].tokens", 0, PublicationRules.MAXIMUM_TOKENS));
        checks.add(DistinctRoutesCheck.create());
    }

    private static void addOrganisationChecks(List<Check> checks) {
        final long maximumTokens = PublicationRules.MAXIMUM_TOKENS;
        checks.add(PatternCheck.name("organisations[].name"));
        checks.add(RangeCheck.of("organisations[].tokens_per_second", 1, maximumTokens));
        checks.add(RangeCheck.of("organisations[].burst_tokens", 1, maximumTokens));
        checks.add(RangeCheck.of("organisations[].weight", 1, PublicationRules.MAXIMUM_WEIGHT));
    }

    private static void addAdapterChecks(List<Check> checks, String table) {
        checks.add(PatternCheck.name(table + ".service"));
        checks.add(AdapterServiceCheck.of(table));
        checks.add(SizeCheck.of(table + ".versions", 1, MAXIMUM_VERSIONS));
        checks.add(PatternCheck.name(table + ".versions[]"));
        checks.add(DistinctElementsCheck.ofTexts(table + ".versions"));
        checks.add(DefaultVersionCheck.of(table));
        checks.add(PatternCheck.name(table + ".organisations[]"));
        checks.add(DistinctElementsCheck.ofTexts(table + ".organisations"));
    }
}
