package org.crocushaven.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.crocushaven.backend.BackendServer;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.placement.DispatcherAction.GrantPermit;
import org.crocushaven.placement.DispatcherAction.OrderLoad;
import org.crocushaven.placement.DispatcherAction.OrderUnload;
import org.crocushaven.placement.DispatcherAction.RequestLoadGrant;
import org.crocushaven.result.ResultCode;

/**
 * Simulates one backend server, its successive dispatchers and permit holders on a virtual clock.
 */
final class DispatchFleet {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SESSION_LEASE = 2_000 * MILLISECOND;
    private static final long ANSWER_TIMEOUT = 1_000 * MILLISECOND;
    private static final int ADAPTER_SLOTS = 3;
    private static final int REQUEST_SLOTS = 4;
    private static final List<AdapterVersion> VERSIONS =
            IntStream.range(0, 6)
                    .mapToObj(number -> AdapterVersion.of("adapter" + number, "1"))
                    .toList();

    private final SplittableRandom random;
    private final FaultCounts<DispatchFault> counts;
    private final boolean checksFencing;
    private final EngineModel engine;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Map<String, Set<String>> heldByHolder = new HashMap<>();
    private final Map<String, AdapterVersion> versionByRequest = new HashMap<>();
    private final Map<String, Long> askedNanos = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private BackendDispatcher dispatcher;
    private long fencingNumber;
    private long takeoverNanos;
    private long restartNanos;
    private boolean faults = true;
    private long nextNumber;
    private long now;

    private DispatchFleet(long seed, FaultCounts<DispatchFault> counts) {
        this.random = new SplittableRandom(seed);
        this.counts = counts;
        this.checksFencing = random.nextBoolean();
        this.engine = new EngineModel(checksFencing, ADAPTER_SLOTS, counts);
    }

    static DispatchFleet create(long seed, FaultCounts<DispatchFault> counts) {
        final DispatchFleet fleet = new DispatchFleet(seed, counts);
        for (int holder = 0; holder < 3; holder++) {
            fleet.heldByHolder.put("i" + holder, new HashSet<>());
        }
        fleet.takeOver();
        fleet.heartbeat();
        return fleet;
    }

    void run(long nanos) {
        final long end = now + nanos;
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            final Event event = events.poll();
            now = event.atNanos();
            event.task().run();
            performActions();
        }
        now = end;
    }

    void step() {
        run(random.nextLong(120 * MILLISECOND));
        final int choice = random.nextInt(200);
        if (choice < 150) {
            request();
        } else if (choice < 190) {
            dispatcherCall(() -> dispatcher.tick(now));
        } else if (choice < 194) {
            failDispatcher();
        } else if (choice < 197) {
            loseHolder();
        } else if (choice < 198) {
            engine.restart();
            restartNanos = now;
        }
    }

    /**
     * Stops injecting faults and returns whether every permit ends and a new request is answered.
     */
    boolean recovers() {
        faults = false;
        for (int round = 0; round < 400; round++) {
            run(100 * MILLISECOND);
            dispatcherCall(() -> dispatcher.tick(now));
        }
        if (dispatcher == null || dispatcher.permitCount() > 0 || dispatcher.queueLength() > 0) {
            return false;
        }
        final String requestId = request();
        for (int round = 0; round < 100 && !answered.contains(requestId); round++) {
            run(100 * MILLISECOND);
            dispatcherCall(() -> dispatcher.tick(now));
        }
        return answered.contains(requestId);
    }

    private String request() {
        final String holder = randomHolder();
        final String requestId = "r" + nextNumber++;
        final AdapterVersion version = VERSIONS.get(Math.min(random.nextInt(6), random.nextInt(6)));
        versionByRequest.put(requestId, version);
        askedNanos.put(requestId, now);
        final PermitRequest permitRequest =
                new PermitRequest(
                        requestId,
                        holder,
                        "o" + random.nextInt(3),
                        1,
                        Optional.of(version),
                        random.nextLong(1, 500),
                        random.nextInt(8),
                        now + random.nextLong(2_000, 10_000) * MILLISECOND,
                        now);
        deliver(() -> dispatcherCall(() -> dispatcher.requestPermit(permitRequest, now)), false);
        return requestId;
    }

    private void handleGrant(GrantPermit grant) {
        final Set<String> held = heldByHolder.get(grant.holder());
        final boolean inTime = now - askedNanos.get(grant.requestId()) < 5 * ANSWER_TIMEOUT;
        final boolean ended = answered.contains(grant.requestId());
        if (held == null || !inTime || ended || !held.add(grant.requestId())) {
            return;
        }
        final long permitIncarnation = engine.incarnation();
        schedule(
                random.nextLong(100),
                () -> {
                    final Set<String> stillHeld = heldByHolder.get(grant.holder());
                    if (stillHeld == null || !stillHeld.contains(grant.requestId())) {
                        return;
                    }
                    sendRequest(grant, permitIncarnation);
                });
    }

    private void sendRequest(GrantPermit grant, long permitIncarnation) {
        final AdapterVersion version = versionByRequest.get(grant.requestId());
        if (!grant.version().equals(Optional.of(version))) {
            throw new AssertionError("permit for another version: " + grant);
        }
        if (!engine.start(grant.requestId(), version)) {
            final boolean unloadedVersionAllowed =
                    engine.incarnation() != permitIncarnation
                            || now - restartNanos < 4 * SESSION_LEASE
                            || now - takeoverNanos < 4 * SESSION_LEASE;
            if (!unloadedVersionAllowed) {
                throw new AssertionError("permit for an unloaded version: " + grant);
            }
            returnPermitOf(grant, PermitOutcome.VERSION_NOT_LOADED);
            return;
        }
        schedule(
                random.nextInt(8) == 0 ? random.nextLong(6_000) : random.nextLong(20, 900),
                () -> {
                    final boolean completed = engine.finish(grant.requestId());
                    returnPermitOf(
                            grant, completed ? PermitOutcome.COMPLETED : PermitOutcome.FAILED);
                });
    }

    private void returnPermitOf(GrantPermit grant, PermitOutcome outcome) {
        answered.add(grant.requestId());
        final Set<String> held = heldByHolder.get(grant.holder());
        if (held == null || !held.remove(grant.requestId())) {
            return;
        }
        if (faults && random.nextInt(15) == 0) {
            counts.count(DispatchFault.RETURN_LOST);
            return;
        }
        deliver(
                () ->
                        dispatcherCall(
                                () -> dispatcher.returnPermit(grant.requestId(), outcome, now)),
                false);
    }

    private void performActions() {
        if (dispatcher == null) {
            return;
        }
        for (final DispatcherAction action : dispatcher.takeActions()) {
            if (action instanceof GrantPermit grant) {
                if (faults && random.nextInt(20) == 0) {
                    counts.count(DispatchFault.GRANT_LOST);
                } else {
                    deliver(() -> handleGrant(grant), true);
                }
            } else if (action instanceof RequestLoadGrant ask) {
                answerLoadGrant(ask);
            } else if (action instanceof OrderLoad order) {
                final boolean fails = faults && random.nextInt(10) == 0;
                sendOrder(order.version(), true, order.fencingNumber(), fails);
            } else if (action instanceof OrderUnload order) {
                sendOrder(order.version(), false, order.fencingNumber(), false);
            } else if (action instanceof DispatcherAction.RefusePermit refusal) {
                answered.add(refusal.requestId());
            }
        }
    }

    private void answerLoadGrant(RequestLoadGrant ask) {
        if (faults && random.nextInt(10) == 0) {
            counts.count(DispatchFault.LOAD_GRANT_LOST);
            return;
        }
        final BackendDispatcher asking = dispatcher;
        schedule(
                random.nextLong(200),
                () -> {
                    if (asking == dispatcher) {
                        dispatcher.handleLoadGrant(ask.version(), now);
                    }
                });
    }

    /** Delivers an order to the backend server within the order lifetime, and its result back. */
    private void sendOrder(AdapterVersion version, boolean load, long number, boolean fails) {
        final BackendDispatcher ordering = dispatcher;
        final long delay = random.nextInt(4) == 0 ? random.nextLong(1_900) : random.nextLong(300);
        final boolean answerLost = faults && random.nextInt(12) == 0;
        schedule(
                delay,
                () -> {
                    if (number < fencingNumber) {
                        counts.count(DispatchFault.OLD_ORDER_AFTER_TAKEOVER);
                    }
                    final ResultCode code =
                            load
                                    ? engine.load(version, number, fails)
                                    : engine.unload(version, number);
                    if (!answerLost) {
                        schedule(1, () -> orderEnded(ordering, version, load, code));
                    }
                });
        if (answerLost) {
            counts.count(DispatchFault.ORDER_ANSWER_LOST);
            schedule(
                    random.nextLong(50, 2_000),
                    () -> orderEnded(ordering, version, load, ResultCode.PEER_TIMEOUT));
        }
    }

    private void orderEnded(
            BackendDispatcher ordering, AdapterVersion version, boolean load, ResultCode code) {
        if (ordering != dispatcher) {
            return;
        }
        if (load) {
            dispatcher.loadFinished(version, code, now);
        } else {
            dispatcher.unloadFinished(version, code, now);
        }
    }

    private void heartbeat() {
        final LoadReport report = engine.report();
        if (faults && random.nextInt(8) == 0) {
            counts.count(DispatchFault.REPORT_LOST);
        } else {
            final boolean late = random.nextInt(4) == 0;
            if (late) {
                counts.count(DispatchFault.REPORT_LATE);
            }
            schedule(
                    late ? random.nextLong(300, 950) : random.nextLong(50),
                    () -> dispatcherCall(() -> dispatcher.applyLoadReport(report, now)));
        }
        schedule(200, this::heartbeat);
    }

    private void failDispatcher() {
        counts.count(DispatchFault.TAKEOVER);
        if (engine.runningCount() > 0) {
            counts.count(DispatchFault.TAKEOVER_WITH_RUNNING_REQUEST);
        }
        dispatcher = null;
        schedule(random.nextLong(500), this::takeOver);
    }

    private void takeOver() {
        fencingNumber++;
        takeoverNanos = now;
        dispatcher =
                BackendDispatcher.create(
                        new BackendServer(
                                "e1",
                                "model",
                                "a",
                                "127.0.0.1",
                                9001,
                                engine.incarnation(),
                                ADAPTER_SLOTS,
                                REQUEST_SLOTS,
                                checksFencing),
                        fencingNumber,
                        DispatcherSettings.defaults(),
                        LeastRecentlyUsedEviction.create(),
                        now);
        for (final String holder : heldByHolder.keySet()) {
            schedule(random.nextLong(1_500), () -> redeclare(holder));
        }
    }

    private void redeclare(String holder) {
        for (final String requestId : heldByHolder.getOrDefault(holder, Set.of())) {
            dispatcherCall(
                    () ->
                            dispatcher.redeclarePermit(
                                    holder,
                                    requestId,
                                    Optional.of(versionByRequest.get(requestId)),
                                    now + 5_000 * MILLISECOND,
                                    now));
        }
    }

    private void loseHolder() {
        final String holder = randomHolder();
        if (!heldByHolder.remove(holder).isEmpty()) {
            counts.count(DispatchFault.HOLDER_LOST_WITH_PERMIT);
        }
        heldByHolder.put("i" + nextNumber++, new HashSet<>());
        schedule(
                SESSION_LEASE / MILLISECOND,
                () -> dispatcherCall(() -> dispatcher.handleHolderExpired(holder, now)));
    }

    private String randomHolder() {
        final List<String> holders = heldByHolder.keySet().stream().sorted().toList();
        return holders.get(random.nextInt(holders.size()));
    }

    private void dispatcherCall(Runnable call) {
        if (dispatcher != null) {
            call.run();
            final boolean allPinned =
                    dispatcher.queueLength() > 0
                            && dispatcher.permitCount() > 0
                            && dispatcher.summary().freeSlots() > 0;
            if (allPinned) {
                counts.count(DispatchFault.REQUEST_WAITED_WITH_ALL_SLOTS_PINNED);
            }
            performActions();
        }
    }

    private void deliver(Runnable task, boolean mayDuplicate) {
        schedule(random.nextLong(300), task);
        if (mayDuplicate && random.nextInt(10) == 0) {
            schedule(random.nextLong(300), task);
        }
    }

    private void schedule(long milliseconds, Runnable task) {
        events.add(new Event(now + milliseconds * MILLISECOND, nextNumber++, task));
    }

    private record Event(long atNanos, long number, Runnable task) {}
}
