package org.crocushaven.configuration.servicefile;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.check.Violation;
import org.crocushaven.configuration.check.ViolationLog;

/**
 * Checks that no two services, organisations or adapters have the same name in the collected files.
 */
final class DuplicateNamesCheck implements CollectionCheck {
    private static final String MESSAGE_DUPLICATE = "name.duplicate";

    @Override
    public void check(ServiceFile collected, List<Violation> violations) {
        checkNames("service", collected.services(), Service::name, violations);
        checkNames("organisation", collected.organisations(), Organisation::name, violations);
        checkNames("adapter", collected.adapters(), Adapter::name, violations);
    }

    /**
     * Reports at most one violation for each line of a file, so that overlapping series do not
     * produce one for every name.
     */
    private static <T> void checkNames(
            String kind,
            List<Located<T>> parts,
            Function<T, String> nameOf,
            List<Violation> violations) {
        final Map<String, Located<T>> firsts = new HashMap<>();
        final Set<String> reported = new HashSet<>();
        for (final Located<T> part : parts) {
            final String name = nameOf.apply(part.value());
            final Located<T> first = firsts.putIfAbsent(name, part);
            if (first != null && reported.add(part.file() + ":" + part.node().line())) {
                ViolationLog.of(part.file(), DuplicateNamesCheck.class, violations)
                        .add(
                                part.node(),
                                MESSAGE_DUPLICATE,
                                kind,
                                name,
                                first.file(),
                                first.node().line());
            }
        }
    }
}
