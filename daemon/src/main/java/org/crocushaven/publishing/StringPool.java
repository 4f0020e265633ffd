package org.crocushaven.publishing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.NumberedChange;
import org.crocushaven.configuration.PublishServices;

/** Shares equal strings and lists between the adapters of a decoded publication to save memory. */
final class StringPool {
    private final Map<String, String> strings = new HashMap<>();
    private final Map<List<String>, List<String>> lists = new HashMap<>();

    private StringPool() {}

    /** Returns an equal change whose adapters share equal strings and lists. */
    static NumberedChange share(NumberedChange change) {
        if (change.change() instanceof PublishServices publication) {
            return new NumberedChange(change.operator(), change.number(), share(publication));
        }
        return change;
    }

    /** Returns an equal publication whose adapters share equal strings and lists. */
    static PublishServices share(PublishServices publication) {
        final StringPool pool = new StringPool();
        return new PublishServices(
                publication.publisher(),
                publication.services(),
                publication.organisations(),
                publication.adapters().stream().map(pool::share).toList());
    }

    private Adapter share(Adapter adapter) {
        return new Adapter(
                adapter.name(),
                share(adapter.service()),
                share(adapter.versions()),
                share(adapter.defaultVersion()),
                share(adapter.organisations()));
    }

    private String share(String text) {
        return strings.computeIfAbsent(text, key -> key);
    }

    private List<String> share(List<String> list) {
        return lists.computeIfAbsent(list, key -> key);
    }
}
