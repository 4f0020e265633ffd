package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterUse;
import org.crocushaven.fleet.AdapterVersion;
import org.crocushaven.fleet.BackendLoad;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.HeldAdapter;

/**
 * What a gateway knows of backend servers: those the leader told of, what they hold, and the
 * requests under way there. Not thread-safe.
 */
final class FleetView {
    private final Map<String, BackendRecord> backends = new HashMap<>();
    private final Map<AdapterKey, Map<String, Long>> holders = new HashMap<>();
    private final Map<AdapterKey, Long> namedVersions = new HashMap<>();
    private final Map<String, Integer> ownLoads = new HashMap<>();
    private final Map<String, Integer> otherLoads = new HashMap<>();
    private final Map<UseKey, Use> uses = new HashMap<>();
    private long epoch;
    private long revision;

    /** Takes in an update of the leader. */
    void apply(GatewayUpdate update) {
        if (update.complete()) {
            final Set<String> told = new HashSet<>();
            update.changed().forEach(record -> told.add(record.backend()));
            new ArrayList<>(backends.keySet())
                    .stream().filter(backend -> !told.contains(backend)).forEach(this::remove);
        }
        update.gone().forEach(this::remove);
        update.changed().forEach(this::put);
        if (update.statePresent()) {
            namedVersions.clear();
            for (final AdapterVersion named : update.adapterVersions()) {
                namedVersions.put(new AdapterKey(named.model(), named.adapter()), named.version());
            }
        }
        otherLoads.clear();
        update.otherLoads().forEach(load -> otherLoads.put(load.backend(), load.requests()));
        epoch = update.epoch();
        revision = update.revision();
    }

    /** Returns the epoch of the leader whose view this is; 0 for none. */
    long epoch() {
        return epoch;
    }

    /** Returns the revision of this view. */
    long revision() {
        return revision;
    }

    /** Returns the identifiers of all backend servers. */
    Set<String> identifiers() {
        return backends.keySet();
    }

    /** Returns the backend server with the given identifier. */
    Optional<BackendRecord> find(String backend) {
        return Optional.ofNullable(backends.get(backend));
    }

    /** Returns the backend servers of a service that take requests. */
    List<BackendRecord> ofService(String service) {
        final List<BackendRecord> found = new ArrayList<>();
        for (final BackendRecord record : backends.values()) {
            if (record.service().equals(service) && record.takesRequests()) {
                found.add(record);
            }
        }
        return found;
    }

    /** Returns those of them that hold an adapter, or a base model, in the version named. */
    List<BackendRecord> holdersOf(String service, AdapterKey key) {
        final long version = namedVersions.getOrDefault(key, 0L);
        final List<BackendRecord> found = new ArrayList<>();
        holders.getOrDefault(key, Map.of())
                .forEach(
                        (backend, held) -> {
                            final BackendRecord record = backends.get(backend);
                            if (record != null
                                    && record.takesRequests()
                                    && record.service().equals(service)
                                    && held >= version) {
                                found.add(record);
                            }
                        });
        return found;
    }

    /** Returns the version of an adapter that was named last; empty when none was. */
    OptionalLong namedVersion(AdapterKey key) {
        final Long version = namedVersions.get(key);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /** Notes that a backend server holds an adapter. */
    void learn(String backend, AdapterKey key, long version) {
        if (backends.containsKey(backend)) {
            holders.computeIfAbsent(key, name -> new HashMap<>()).put(backend, version);
        }
    }

    /** Notes that a backend server does not hold an adapter. */
    void forget(String backend, AdapterKey key) {
        final Map<String, Long> known = holders.get(key);
        if (known != null) {
            known.remove(backend);
        }
    }

    /** Notes that a backend server takes no requests; the leader's next word on it counts again. */
    void distrust(String backend) {
        remove(backend);
    }

    /** Returns the requests believed to be under way at a backend server. */
    int requestsAt(String backend) {
        return ownLoads.getOrDefault(backend, 0) + otherLoads.getOrDefault(backend, 0);
    }

    /** Counts a request that goes to a backend server. */
    void started(String backend, AdapterKey key) {
        ownLoads.merge(backend, 1, Integer::sum);
        if (key != null) {
            final Use use = uses.computeIfAbsent(new UseKey(backend, key), name -> new Use());
            use.running++;
            use.started++;
        }
    }

    /** Counts the end of such a request. */
    void ended(String backend, AdapterKey key) {
        ownLoads.merge(backend, -1, (left, right) -> left + right == 0 ? null : left + right);
        if (key != null) {
            uses.get(new UseKey(backend, key)).running--;
        }
    }

    /** Returns the requests of this gateway under way. */
    List<BackendLoad> ownLoads() {
        final List<BackendLoad> loads = new ArrayList<>(ownLoads.size());
        ownLoads.forEach((backend, requests) -> loads.add(new BackendLoad(backend, requests)));
        return loads;
    }

    /** Returns the use of adapters since the last call. */
    List<AdapterUse> takeUses() {
        final List<AdapterUse> taken = new ArrayList<>(uses.size());
        uses.forEach(
                (name, use) -> {
                    taken.add(
                            new AdapterUse(
                                    name.backend(),
                                    name.key().model(),
                                    name.key().adapter(),
                                    use.running,
                                    use.started));
                    use.started = 0;
                });
        uses.values().removeIf(use -> use.running == 0);
        return taken;
    }

    private void put(BackendRecord record) {
        remove(record.backend());
        backends.put(record.backend(), record);
        for (final HeldAdapter held : record.held()) {
            learn(record.backend(), new AdapterKey(held.model(), held.adapter()), held.version());
        }
    }

    private void remove(String backend) {
        final BackendRecord known = backends.remove(backend);
        if (known != null) {
            holders.values().forEach(map -> map.remove(backend));
            holders.values().removeIf(Map::isEmpty);
        }
    }

    private record UseKey(String backend, AdapterKey key) {}

    private static final class Use {
        private int running;
        private int started;
    }
}
