package org.crocushaven.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.crocushaven.coldstart.ColdBackends;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.AdapterVersion;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.GatewayUpdate;
import org.crocushaven.fleet.HeldAdapter;
import org.crocushaven.observability.EventLine;

/**
 * Holds what a gateway knows of the backend servers: the leader's records of them, the adapters
 * they hold, and the requests in flight there. Not thread-safe.
 */
final class GatewayBackends {
    private final Map<String, BackendRecord> backends = new HashMap<>();
    private final Map<AdapterKey, Map<String, Holding>> holders = new HashMap<>();
    private final Map<String, Set<AdapterKey>> keysByBackend = new HashMap<>();
    private final Map<AdapterKey, Long> requiredVersions = new HashMap<>();
    private final BackendLoads loads = new BackendLoads();
    private final AdapterUses uses = new AdapterUses();
    private final BackendBounds bounds;
    private long epoch;
    private long revision;

    /**
     * Creates a view of no backend servers.
     *
     * @param random divides what is free at brittle ones
     */
    GatewayBackends(RandomGenerator random) {
        this.bounds = new BackendBounds(random);
    }

    /**
     * Applies an update of the leader. Adapters that are still loading at the request of this
     * gateway stay recorded unless their backend server is removed.
     *
     * @param askedNanos time at which the report was sent that the update answers
     */
    void apply(GatewayUpdate update, long askedNanos, long nowNanos) {
        if (update.complete()) {
            final Set<String> reported = new HashSet<>();
            update.changed().forEach(record -> reported.add(record.backend()));
            new ArrayList<>(backends.keySet())
                    .stream().filter(backend -> !reported.contains(backend)).forEach(this::remove);
        }
        update.gone().forEach(this::remove);
        update.changed().forEach(record -> put(record, nowNanos));
        if (update.hasState()) {
            requiredVersions.clear();
            for (final AdapterVersion named : update.adapterVersions()) {
                requiredVersions.put(
                        new AdapterKey(named.model(), named.adapter()), named.version());
            }
        }
        loads.apply(update.otherLoads(), nowNanos);
        bounds.apply(update, askedNanos, nowNanos);
        epoch = update.epoch();
        revision = update.revision();
    }

    /** Returns the epoch of the leader that sent the last update; 0 before the first one. */
    long epoch() {
        return epoch;
    }

    /** Returns the revision of the last update. */
    long revision() {
        return revision;
    }

    /** Returns the records of all backend servers. */
    Collection<BackendRecord> records() {
        return backends.values();
    }

    /** Returns the backend server with the given identifier. */
    Optional<BackendRecord> find(String backend) {
        return Optional.ofNullable(backends.get(backend));
    }

    /** Returns what backend servers said of themselves in their answers. */
    BackendNotices notices() {
        return bounds.notices();
    }

    /** Returns the limits that backend servers named in their answers. */
    BackendLimits limits() {
        return bounds.limits();
    }

    /** Returns the backend servers that said in their answers that they are brittle. */
    BrittleBackends brittle() {
        return bounds.brittle();
    }

    /** Returns the backend servers that are cold. */
    ColdBackends cold() {
        return bounds.cold();
    }

    /**
     * Takes a request out of all that bounds those of a backend server, just before it is sent;
     * returns whether it may be sent.
     */
    boolean trySend(BackendRecord backend, long nowNanos) {
        return bounds.tryTake(backend, requestsAt(backend.backend()) - 1, nowNanos);
    }

    /** Returns whether a backend server accepts requests by its record and by its own answers. */
    boolean acceptsRequests(BackendRecord record, long nowNanos) {
        return record.acceptsRequests() && wantsRequests(record, nowNanos);
    }

    /**
     * Returns whether a backend server wants requests by its own answers, and may have them while
     * it is cold or its failure domain evacuated.
     */
    private boolean wantsRequests(BackendRecord record, long nowNanos) {
        return bounds.allow(record, requestsAt(record.backend()), nowNanos);
    }

    /** Returns the backend servers of a service that accept requests. */
    List<BackendRecord> ofService(String service, long nowNanos) {
        return select(service, record -> acceptsRequests(record, nowNanos));
    }

    /**
     * Returns the backend servers of a service that accept requests by their records but not by
     * their own answers.
     */
    List<BackendRecord> withheldByNotices(String service, long nowNanos) {
        return select(
                service, record -> record.acceptsRequests() && !wantsRequests(record, nowNanos));
    }

    /** Records that a request would be sent to backend servers whose limits are used up. */
    void recordWantedOfLimited(String service, long nowNanos) {
        select(service, record -> record.acceptsRequests() && !limits().allows(record, nowNanos))
                .forEach(limits()::recordWanted);
    }

    /**
     * Records that a request would be sent to one of the cold backend servers of a service, so that
     * the next grant brings one there.
     */
    void recordWantedOfCold(String service, RandomGenerator random, long nowNanos) {
        final List<BackendRecord> withheld =
                select(
                        service,
                        record ->
                                record.acceptsRequests()
                                        && bounds.isWithheldAsCold(record, nowNanos));
        if (!withheld.isEmpty()) {
            cold().recordWanted(withheld.get(random.nextInt(withheld.size())).backend());
        }
    }

    /**
     * Returns the time until the first backend server of a service takes requests again; empty
     * unless all that stay want a pause, have named a limit that is used up, or are cold.
     */
    Optional<Duration> pauseOf(String service, long nowNanos) {
        return select(service, record -> record.acceptsRequests() && !bounds.isLeft(record))
                .stream()
                .map(record -> bounds.waitNanos(record, nowNanos))
                .min(Long::compare)
                .filter(pauseNanos -> pauseNanos > 0)
                .map(Duration::ofNanos);
    }

    private List<BackendRecord> select(String service, Predicate<BackendRecord> condition) {
        final List<BackendRecord> found = new ArrayList<>();
        for (final BackendRecord record : backends.values()) {
            if (record.service().equals(service) && condition.test(record)) {
                found.add(record);
            }
        }
        return found;
    }

    /**
     * Returns the backend servers of a service that accept requests and hold an adapter, or a base
     * model, in the named version or a newer one.
     */
    List<BackendRecord> holdersOf(String service, AdapterKey key, long nowNanos) {
        final List<BackendRecord> found = new ArrayList<>();
        for (final Map.Entry<String, Holding> holder : holdings(key).entrySet()) {
            if (holder.getValue().waitNanos(nowNanos) == 0) {
                usable(holder, service, key, nowNanos).ifPresent(found::add);
            }
        }
        return found;
    }

    /**
     * Returns the backend server of a service on which an adapter is available first, among those
     * that satisfy the condition.
     */
    Optional<ExpectedHolder> earliestHolder(
            String service, AdapterKey key, Predicate<BackendRecord> condition, long nowNanos) {
        ExpectedHolder first = null;
        for (final Map.Entry<String, Holding> holder : holdings(key).entrySet()) {
            final long waitNanos = holder.getValue().waitNanos(nowNanos);
            final Optional<BackendRecord> record =
                    usable(holder, service, key, nowNanos).filter(condition);
            if (record.isPresent() && (first == null || waitNanos < first.waitNanos())) {
                first = new ExpectedHolder(record.get(), waitNanos);
            }
        }
        return Optional.ofNullable(first);
    }

    private Map<String, Holding> holdings(AdapterKey key) {
        return holders.getOrDefault(key, Map.of());
    }

    private Optional<BackendRecord> usable(
            Map.Entry<String, Holding> holder, String service, AdapterKey key, long nowNanos) {
        return find(holder.getKey())
                .filter(record -> acceptsRequests(record, nowNanos))
                .filter(record -> record.service().equals(service))
                .filter(
                        record ->
                                holder.getValue().version()
                                        >= requiredVersions.getOrDefault(key, 0L));
    }

    /**
     * Returns the required version of an adapter, the one that the operator set last; empty when
     * none was set.
     */
    OptionalLong requiredVersion(AdapterKey key) {
        final Long version = requiredVersions.get(key);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /** Records that a backend server holds an adapter, or will hold it from the given time on. */
    void addHolder(String backend, AdapterKey key, long version, long usableNanos) {
        if (backends.containsKey(backend)) {
            holders.computeIfAbsent(key, name -> new HashMap<>())
                    .put(backend, new Holding(version, usableNanos));
            keysByBackend.computeIfAbsent(backend, name -> new HashSet<>()).add(key);
        }
    }

    /**
     * Returns how long an adapter still takes to be available on a backend server; empty if it is
     * not expected there.
     */
    OptionalLong waitMillis(String backend, AdapterKey key, long nowNanos) {
        final Holding holding = holdings(key).get(backend);
        return holding == null
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(holding.waitNanos(nowNanos)));
    }

    /** Records that a backend server does not hold an adapter. */
    void removeHolder(String backend, AdapterKey key) {
        final Map<String, Holding> known = holders.get(key);
        if (known != null && known.remove(backend) != null && known.isEmpty()) {
            holders.remove(key);
        }
        keysByBackend.getOrDefault(backend, Set.of()).remove(key);
    }

    /** Returns the requests in flight and the prompts that are still to be read. */
    BackendLoads loads() {
        return loads;
    }

    /** Returns the adapters that this gateway's requests use. */
    AdapterUses uses() {
        return uses;
    }

    /** Returns the estimated number of requests in flight at a backend server. */
    int requestsAt(String backend) {
        return loads.requestsAt(backend);
    }

    /** Returns the backend servers at which requests of this gateway are in flight. */
    List<BackendRecord> awaited() {
        return loads.awaited().stream().flatMap(backend -> find(backend).stream()).toList();
    }

    /** Counts a request that is assigned to a backend server. */
    void requestStarted(String backend, AdapterKey key) {
        loads.requestStarted(backend);
        uses.requestStarted(backend, key);
    }

    /** Counts the end of an assigned request. */
    void requestEnded(String backend, AdapterKey key) {
        loads.requestEnded(backend);
        uses.requestEnded(backend, key);
    }

    private void put(BackendRecord record, long nowNanos) {
        final String backend = record.backend();
        logStateChange(backends.get(backend), record);
        for (final AdapterKey key : List.copyOf(keysByBackend.getOrDefault(backend, Set.of()))) {
            if (holdings(key).get(backend).waitNanos(nowNanos) == 0) {
                removeHolder(backend, key);
            }
        }
        backends.put(backend, record);
        notices().recordReceived(record, nowNanos);
        for (final HeldAdapter held : record.held()) {
            addHolder(backend, AdapterKey.of(held), held.version(), nowNanos);
        }
    }

    private static void logStateChange(BackendRecord known, BackendRecord record) {
        if (known != null && known.state() != record.state()) {
            EventLine.of("backend-state-received")
                    .with("backend", record.backend())
                    .with("state", record.state())
                    .with("previous", known.state())
                    .info();
        }
    }

    private void remove(String backend) {
        if (backends.remove(backend) != null) {
            List.copyOf(keysByBackend.getOrDefault(backend, Set.of()))
                    .forEach(key -> removeHolder(backend, key));
            keysByBackend.remove(backend);
            loads.forgetPrompts(backend);
        }
    }

    /**
     * Describes a backend server that will hold an adapter.
     *
     * @param backend the backend server
     * @param waitNanos expected time until the adapter is available there
     */
    record ExpectedHolder(BackendRecord backend, long waitNanos) {}

    /**
     * The version of an adapter on a backend server and the time from which on it is expected to be
     * available there.
     */
    private record Holding(long version, long usableNanos) {
        private long waitNanos(long nowNanos) {
            return Math.max(0, usableNanos - nowNanos);
        }
    }
}
