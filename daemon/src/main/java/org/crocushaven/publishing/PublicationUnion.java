package org.crocushaven.publishing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Service;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Combines the services, organisations and adapters of all publications.
 *
 * @param services services by name
 * @param organisations organisations by name
 * @param adapters adapters by name
 */
record PublicationUnion(
        Map<String, Service> services,
        Map<String, Organisation> organisations,
        Map<String, Adapter> adapters) {
    /**
     * Returns the union of the given publications.
     *
     * @throws ResultException with {@code CHANGE_CONFLICT} when two services, two organisations or
     *     two adapters have the same name
     */
    static PublicationUnion of(Collection<PublishServices> publications, long revision) {
        return new PublicationUnion(
                byName(
                        publications.stream().flatMap(each -> each.services().stream()),
                        Service::name,
                        revision),
                byName(
                        publications.stream().flatMap(each -> each.organisations().stream()),
                        Organisation::name,
                        revision),
                byName(
                        publications.stream().flatMap(each -> each.adapters().stream()),
                        Adapter::name,
                        revision));
    }

    private static <T> Map<String, T> byName(
            Stream<T> parts, Function<T, String> nameOf, long revision) {
        final Map<String, T> union = new HashMap<>();
        parts.forEach(
                part -> {
                    final String name = nameOf.apply(part);
                    if (union.put(name, part) != null) {
                        throw ResultException.of(
                                ResultCode.CHANGE_CONFLICT,
                                revision,
                                name + " belongs to another publisher");
                    }
                });
        return union;
    }
}
