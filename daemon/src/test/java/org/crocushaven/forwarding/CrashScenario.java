package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.FleetCommand;
import org.crocushaven.fleet.FleetState;
import org.crocushaven.fleet.TraitVerdict;
import org.crocushaven.fleet.TraitVerdicts;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.SimulatedTime;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.result.ResultException;

/** Gateways, a leader and backend servers of one simulated day, with the guilty parts' crashes. */
final class CrashScenario {
    /** Part that begins all prompts of one organisation. */
    private static final long POPULAR_PART = 1;

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final long TOUCH_MILLIS = 3_000;
    private static final int COUNTED_CRASH = 5;
    private static final int COUNTED_CRASH_OF_REQUEST = 3;
    private static final long TICK_MILLIS = 200;
    private static final long COMMIT_MILLIS = 50;
    private static final long SILENT_MILLIS = 3_000;

    private final SimulatedTime time = new SimulatedTime();
    private final RandomGenerator random;
    private final FaultCounts<CrashFault> counts;
    private final List<Long> guilty;
    private final List<Long> guiltyBodies;
    private final Set<Long> guiltyTraits = new HashSet<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final List<SimulatedBackend> backends = new ArrayList<>();
    private final Map<String, Long> reportedMillis = new HashMap<>();
    private final Map<Long, List<Long>> crashMillis = new HashMap<>();
    private final Map<Long, List<Long>> countedArrivals = new HashMap<>();
    private final FleetState state = FleetState.create();
    private List<TraitVerdict> knownVerdicts = List.of();
    private long index;
    private TraitVerdicts leader;
    private long epoch;
    private long leaderChangedMillis;
    private long requests;
    private long tries;
    private int falseVerdicts;
    private long falseRefusals;

    CrashScenario(
            long seed, List<Long> guilty, List<Long> guiltyBodies, FaultCounts<CrashFault> counts) {
        this.random = RandomGeneratorFactory.of("SplittableRandom").create(seed);
        this.guilty = guilty;
        this.guiltyBodies = guiltyBodies;
        this.counts = counts;
        final int gatewayCount = 2 + random.nextInt(6);
        for (int number = 0; number < gatewayCount; number++) {
            gateways.add(new SimulatedGateway("g" + number, this, time, random, counts));
        }
        final int backendCount = 6 + random.nextInt(30);
        for (int number = 0; number < backendCount; number++) {
            backends.add(new SimulatedBackend(number, "d" + number % 3));
        }
        elect();
    }

    SimulatedTime time() {
        return time;
    }

    RandomGenerator random() {
        return random;
    }

    Optional<TraitVerdicts> leader() {
        return Optional.ofNullable(leader);
    }

    long stateRevision() {
        return state.view().revision();
    }

    void reported(String gateway) {
        reportedMillis.put(gateway, time.millis());
    }

    List<String> reporting() {
        reportedMillis.values().removeIf(reported -> time.millis() - reported > SILENT_MILLIS);
        return List.copyOf(reportedMillis.keySet());
    }

    boolean hasEnded(BackendStart start) {
        return backends.stream()
                .filter(backend -> backend.address().equals(start.address()))
                .anyMatch(backend -> backend.hasEnded(start.startedMillis()));
    }

    /** Loses the leader; another one follows that knows only what is replicated. */
    void loseLeader() {
        counts.count(CrashFault.LEADER_LOST);
        leader = null;
        leaderChangedMillis = time.millis();
        time.after(200 + random.nextLong(1_300), this::elect);
    }

    private void elect() {
        epoch++;
        leaderChangedMillis = time.millis();
        reportedMillis.clear();
        final long term = epoch;
        leader =
                new TraitVerdicts(
                        "leader-" + term,
                        term,
                        state,
                        time,
                        time,
                        this::commit,
                        () -> gateways.forEach(SimulatedGateway::noticed));
        time.after(TICK_MILLIS, () -> tick(term));
    }

    private void tick(long term) {
        if (leader != null && term == epoch) {
            leader.tick(reporting());
            time.after(TICK_MILLIS, () -> tick(term));
        }
    }

    private CompletableFuture<Void> commit(FleetCommand command) {
        final CompletableFuture<Void> committed = new CompletableFuture<>();
        final long term = epoch;
        time.after(
                5 + random.nextLong(COMMIT_MILLIS),
                () -> {
                    if (leader == null || term != epoch) {
                        committed.completeExceptionally(new IllegalStateException("not leader"));
                        return;
                    }
                    state.apply(++index, MessageCodec.encodeValue(command));
                    judge(state.view().verdicts());
                    committed.complete(null);
                    gateways.forEach(SimulatedGateway::noticed);
                });
        return committed;
    }

    private void judge(List<TraitVerdict> verdicts) {
        for (final TraitVerdict verdict : verdicts) {
            if (knownVerdicts.stream().noneMatch(old -> old.traits().equals(verdict.traits()))) {
                if (verdict.traits().stream().anyMatch(guilty::contains)) {
                    counts.count(CrashFault.GUILTY_CONDEMNED);
                } else if (verdict.traits().stream().anyMatch(guiltyTraits::contains)) {
                    counts.count(CrashFault.GUILTY_REQUEST_CONDEMNED);
                } else {
                    falseVerdicts++;
                }
            }
        }
        knownVerdicts = verdicts;
    }

    /** A caller sends a request with the given parts, the last of which is its own. */
    void request(List<Long> sharedParts) {
        requests++;
        final List<Long> parts = new ArrayList<>(List.of(POPULAR_PART));
        parts.addAll(sharedParts);
        parts.add(-requests);
        arrive(random.nextInt(4) == 0 ? "small" : "large", requests, parts);
    }

    /** A caller sends a request that it sends again and again; it has no parts if it is plain. */
    void repeatedRequest(long body, boolean plain) {
        arrive("large", body, plain ? List.of() : List.of(POPULAR_PART, body));
    }

    private void arrive(String model, long body, List<Long> parts) {
        final SimulatedGateway gateway = gateways.get(random.nextInt(gateways.size()));
        if (!gateway.isReady()) {
            return;
        }
        tries++;
        final SimulatedRequest request = new SimulatedRequest(gateway, tries, body, model, parts);
        if (!guiltIn(request).isEmpty()) {
            guiltyTraits.add(request.wholeTrait());
        }
        try {
            request.guard().requireAllowed();
            send(request);
        } catch (ResultException refused) {
            if (!guiltIn(request).isEmpty()) {
                counts.count(CrashFault.GUILTY_REFUSED);
            } else {
                falseRefusals++;
            }
        }
    }

    private void send(SimulatedRequest request) {
        final List<SimulatedBackend> up = backends.stream().filter(SimulatedBackend::isUp).toList();
        if (up.isEmpty() || request.gateway().isCutOff() || request.guard().refusal().isPresent()) {
            return;
        }
        final SimulatedBackend backend = up.get(random.nextInt(up.size()));
        final int attempt = request.nextAttempt();
        backend.running().add(request);
        guiltIn(request).forEach(part -> recordArrival(request, part));
        time.after(30 + random.nextLong(220), () -> begin(request, backend, attempt));
    }

    /** Returns what of a request is guilty: parts of its prompt, or its body. */
    private List<Long> guiltIn(SimulatedRequest request) {
        final List<Long> found = new ArrayList<>(guilty);
        found.removeIf(part -> !request.hasPart(part));
        if (guiltyBodies.contains(request.body())) {
            found.add(request.body());
        }
        return found;
    }

    private void recordArrival(SimulatedRequest request, long part) {
        final List<Long> crashes = crashMillis.getOrDefault(part, List.of());
        final long sinceMillis = time.millis() - TOUCH_MILLIS;
        final boolean isCounted =
                crashes.size() >= countedCrash(part)
                        && crashes.get(countedCrash(part) - 1) < sinceMillis
                        && leader != null
                        && leaderChangedMillis < sinceMillis
                        && request.gateway().ranSince(sinceMillis);
        if (isCounted) {
            countedArrivals.computeIfAbsent(part, key -> new ArrayList<>()).add(time.millis());
        }
    }

    private int countedCrash(long guilt) {
        return guiltyBodies.contains(guilt) ? COUNTED_CRASH_OF_REQUEST : COUNTED_CRASH;
    }

    private boolean isRunning(SimulatedRequest request, SimulatedBackend backend, int attempt) {
        return backend.running().contains(request) && request.attempts() == attempt;
    }

    private void begin(SimulatedRequest request, SimulatedBackend backend, int attempt) {
        if (!isRunning(request, backend, attempt)) {
            return;
        }
        final List<Long> fatal = guiltIn(request);
        if (!fatal.isEmpty()) {
            counts.count(CrashFault.GUILTY_CRASH);
            fatal.forEach(
                    part ->
                            crashMillis
                                    .computeIfAbsent(part, key -> new ArrayList<>())
                                    .add(time.millis()));
            crash(backend);
            return;
        }
        event(request, backend, attempt);
        time.after(20 + random.nextLong(60), () -> event(request, backend, attempt));
        time.after(
                100 + random.nextLong(2_000),
                () -> {
                    if (isRunning(request, backend, attempt)) {
                        backend.running().remove(request);
                    }
                });
    }

    private void event(SimulatedRequest request, SimulatedBackend backend, int attempt) {
        if (isRunning(request, backend, attempt) && request.isAlive()) {
            request.addEvent();
        }
    }

    /** Ends a backend server with all that runs there. */
    void crash(SimulatedBackend backend) {
        if (!backend.isUp()) {
            return;
        }
        final BackendRecord ended = backend.record();
        backend.end().forEach(request -> broken(request, ended));
        time.after(
                1_000 + random.nextLong(3_000),
                () -> {
                    backend.startAnew();
                    leader().ifPresent(leading -> leading.announced(backend.announcement()));
                });
    }

    private void broken(SimulatedRequest request, BackendRecord backend) {
        if (!request.isAlive()) {
            return;
        }
        if (request.body() < 0 && !guiltyBodies.contains(request.body())) {
            counts.count(CrashFault.POPULAR_REQUEST_BROKEN);
        }
        request.guard().recordConnectionEnded(backend, request.events());
        if (request.attempts() < MAXIMUM_ATTEMPTS
                && request.events() == 0
                && request.guard().mayRepeat()) {
            time.after(1 + random.nextLong(20), () -> send(request));
        }
    }

    /** Resets all of a gateway's connections to backend servers, and lets them refuse it. */
    void cutOff(SimulatedGateway gateway, long millis) {
        counts.count(CrashFault.GATEWAY_CUT_OFF);
        gateway.cutOffFor(millis);
        for (final SimulatedBackend backend : backends) {
            final List<SimulatedRequest> cut =
                    backend.running().stream()
                            .filter(request -> request.gateway() == gateway)
                            .toList();
            backend.running().removeAll(cut);
            cut.forEach(request -> broken(request, backend.record()));
        }
    }

    /** Cuts one request; its backend server goes on. Returns whether there was one. */
    boolean cutOne(boolean reset) {
        final List<SimulatedBackend> busy =
                backends.stream().filter(backend -> !backend.running().isEmpty()).toList();
        if (busy.isEmpty()) {
            return false;
        }
        final SimulatedBackend backend = busy.get(random.nextInt(busy.size()));
        final SimulatedRequest cut = backend.running().remove(0);
        if (reset) {
            broken(cut, backend.record());
        }
        return true;
    }

    List<SimulatedBackend> backends() {
        return backends;
    }

    List<SimulatedGateway> gateways() {
        return gateways;
    }

    /** Returns the largest number of late requests with one part that reached backend servers. */
    int lateArrivals() {
        return countedArrivals.values().stream().mapToInt(List::size).max().orElse(0);
    }

    int falseVerdicts() {
        return falseVerdicts;
    }

    long falseRefusals() {
        return falseRefusals;
    }

    long requests() {
        return tries;
    }
}
