package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterUse;

/** Counts the requests of this gateway that use adapters on backend servers. Not thread-safe. */
final class AdapterUses {
    private final Map<UseKey, UseCounts> uses = new HashMap<>();

    /** Counts a request that is assigned to a backend server; it may use no adapter. */
    void requestStarted(String backend, AdapterKey key) {
        if (key != null) {
            final UseCounts use =
                    uses.computeIfAbsent(new UseKey(backend, key), name -> new UseCounts());
            use.running++;
            use.started++;
        }
    }

    /** Counts the end of an assigned request. */
    void requestEnded(String backend, AdapterKey key) {
        if (key != null) {
            uses.get(new UseKey(backend, key)).running--;
        }
    }

    /**
     * Returns how often adapters were used since the last call, and resets the counts of started
     * requests.
     */
    List<AdapterUse> drain() {
        final List<AdapterUse> drained = new ArrayList<>(uses.size());
        uses.forEach(
                (useKey, use) -> {
                    drained.add(
                            new AdapterUse(
                                    useKey.backend(),
                                    useKey.key().model(),
                                    useKey.key().adapter(),
                                    use.running,
                                    use.started));
                    use.started = 0;
                });
        uses.values().removeIf(use -> use.running == 0);
        return drained;
    }

    private record UseKey(String backend, AdapterKey key) {}

    private static final class UseCounts {
        private int running;
        private int started;
    }
}
