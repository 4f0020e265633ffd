package org.crocushaven.bench.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.crocushaven.admission.LoadBudget;
import org.crocushaven.admission.LoadGrant;
import org.crocushaven.admission.LoadRequest;
import org.crocushaven.admission.ShareAllocator;
import org.crocushaven.admission.ShareAllocatorSettings;
import org.crocushaven.admission.ShareGrant;
import org.crocushaven.admission.ShareReport;
import org.crocushaven.backend.LoadReport;
import org.crocushaven.placement.BackendDispatcher;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.placement.DispatcherSettings;

/** Instances, engines, leader and the links between them on a virtual clock. */
final class Fleet {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SAME_DOMAIN_NANOS = 300_000;
    private static final long OTHER_DOMAIN_NANOS = 1_500_000;
    private static final long HEARTBEAT_NANOS = 250 * MILLISECOND;
    private static final long ENGINE_REPORT_NANOS = 500 * MILLISECOND;
    private static final long LEAST_REPORT_LAG_NANOS = 100 * MILLISECOND;
    private static final long REPORT_LAG_SPREAD_NANOS = 300 * MILLISECOND;
    private static final long PUBLISH_NANOS = 100 * MILLISECOND;
    private static final long TICK_NANOS = 50 * MILLISECOND;
    private static final long SESSION_LEASE_NANOS = 2_000 * MILLISECOND;
    private static final long TAKEOVER_NANOS = 2_300 * MILLISECOND;
    private static final long ELECTION_NANOS = 1_000 * MILLISECOND;
    private static final long LOAD_LIFETIME_NANOS = 5_000 * MILLISECOND;

    private final VirtualClock clock = new VirtualClock();
    private final Deployment deployment;
    private final PolicyChoice choice;
    private final SplittableRandom random;
    private final WeightStoreModel store;
    private final List<FleetInstance> instances = new ArrayList<>();
    private final Map<String, DispatcherSlot> slots = new HashMap<>();
    private final List<DispatcherSlot> slotList = new ArrayList<>();
    private FleetInstance leader;
    private ShareAllocator allocator;
    private LoadBudget loadBudget;
    private long epoch;
    private long fencing;

    Fleet(Deployment deployment, PolicyChoice choice, long seed) {
        this.deployment = deployment;
        this.choice = choice;
        this.random = new SplittableRandom(seed);
        this.store = new WeightStoreModel(clock, deployment.loadBudget().maximumInFlight());
        for (int number = 0; number < Deployment.INSTANCES; number++) {
            instances.add(new FleetInstance(number, choice, random.split()));
        }
        lead(instances.get(0));
        for (int number = 0; number < deployment.engines(); number++) {
            final String domain = "d" + number % Deployment.FAILURE_DOMAINS;
            final DispatcherSlot slot =
                    new DispatcherSlot(new EngineModel(clock, store, "e" + number, domain));
            slots.put(slot.engine().name(), slot);
            slotList.add(slot);
            takeOver(slot);
        }
    }

    VirtualClock clock() {
        return clock;
    }

    Deployment deployment() {
        return deployment;
    }

    WeightStoreModel store() {
        return store;
    }

    SplittableRandom random() {
        return random;
    }

    DispatcherSlot slot(String engine) {
        return slots.get(engine);
    }

    List<DispatcherSlot> slots() {
        return slotList;
    }

    FleetInstance instance(String name) {
        return instances.get(Integer.parseInt(name.substring(1)));
    }

    /** Returns the instance with the given number, or the next one that lives. */
    FleetInstance liveInstance(int number) {
        int candidate = number;
        while (!instances.get(candidate % instances.size()).isAlive()) {
            candidate++;
        }
        return instances.get(candidate % instances.size());
    }

    long link(FleetInstance from, FleetInstance to) {
        if (from == to) {
            return 0;
        }
        return from.failureDomain().equals(to.failureDomain())
                ? SAME_DOMAIN_NANOS
                : OTHER_DOMAIN_NANOS;
    }

    /** Starts the periodic work. */
    void start(RequestFlow flow) {
        for (final FleetInstance instance : instances) {
            clock.after(
                    HEARTBEAT_NANOS * instance.number() / instances.size(),
                    () -> heartbeat(instance, flow));
        }
        for (final DispatcherSlot slot : slotList) {
            final long offset = random.nextLong(PUBLISH_NANOS);
            clock.after(offset, () -> engineReport(slot, flow));
            clock.after(offset + MILLISECOND, () -> publish(slot));
            clock.after(offset, () -> tick(slot, flow));
        }
        clock.after(TICK_NANOS, () -> leaderTick(flow));
    }

    /** Sends a share report at once and applies the answer. */
    void reportShares(FleetInstance instance, Runnable applied) {
        if (!instance.isAlive()) {
            return;
        }
        final FleetInstance asked = leader;
        final ShareReport report = instance.shares().report(clock.nowNanos());
        clock.after(
                link(instance, asked),
                () -> {
                    if (!asked.isAlive() || asked != leader) {
                        return;
                    }
                    final ShareGrant grant =
                            allocator.handle(instance.name(), report, clock.nowNanos());
                    clock.after(
                            link(asked, instance),
                            () -> {
                                if (instance.isAlive()) {
                                    instance.shares().apply(grant, clock.nowNanos());
                                    applied.run();
                                }
                            });
                });
    }

    void askLoad(DispatcherSlot slot, LoadRequest request, RequestFlow flow) {
        final FleetInstance host = slot.host();
        clock.after(
                link(host, leader),
                () -> {
                    loadBudget
                            .request(host.name(), request)
                            .ifPresent(grant -> deliver(grant, flow));
                    grantLoads(flow);
                });
    }

    void withdrawLoad(DispatcherSlot slot, LoadRequest request) {
        final String host = slot.host().name();
        clock.after(
                link(slot.host(), leader),
                () -> loadBudget.withdraw(host, request.backendServer(), request.version()));
    }

    void releaseLoad(DispatcherSlot slot, LoadRequest request, RequestFlow flow) {
        final String host = slot.host().name();
        clock.after(
                link(slot.host(), leader),
                () -> {
                    loadBudget.release(host, request.backendServer(), request.version());
                    grantLoads(flow);
                });
    }

    /** Kills an instance; its engines get another dispatcher, and perhaps the fleet a leader. */
    void lose(FleetInstance lost, RequestFlow flow) {
        lost.stop();
        if (lost == leader) {
            clock.after(ELECTION_NANOS, () -> lead(liveInstance(lost.number())));
        }
        clock.after(
                SESSION_LEASE_NANOS,
                () -> {
                    loadBudget.holderLost(lost.name());
                    for (final DispatcherSlot slot : slotList) {
                        if (slot.dispatcher() != null) {
                            slot.dispatcher().handleHolderExpired(lost.name(), clock.nowNanos());
                            flow.perform(slot);
                        }
                    }
                });
        for (final DispatcherSlot slot : slotList) {
            if (slot.host() == lost) {
                slot.lose();
                flow.dispatcherLost(slot);
                clock.after(
                        TAKEOVER_NANOS,
                        () -> {
                            takeOver(slot);
                            flow.redeclare(slot);
                            publish(slot);
                        });
            }
        }
    }

    private void lead(FleetInstance elected) {
        leader = elected;
        epoch++;
        allocator =
                ShareAllocator.create(
                        epoch,
                        ShareAllocatorSettings.defaults(),
                        deployment.organisations(),
                        clock.nowNanos());
        loadBudget =
                LoadBudget.create(deployment.loadBudget(), LOAD_LIFETIME_NANOS, clock.nowNanos());
    }

    private void takeOver(DispatcherSlot slot) {
        fencing++;
        final int wanted = (int) fencing;
        FleetInstance host = liveInstance(wanted % instances.size());
        for (int step = 0; step < instances.size(); step++) {
            final FleetInstance candidate = instances.get((wanted + step) % instances.size());
            if (candidate.isAlive()
                    && candidate.failureDomain().equals(slot.engine().failureDomain())) {
                host = candidate;
                break;
            }
        }
        slot.takeOver(
                host,
                BackendDispatcher.create(
                        slot.engine().server(),
                        fencing,
                        DispatcherSettings.defaults(),
                        choice.eviction(clock.nowNanos()),
                        clock.nowNanos()));
    }

    private void heartbeat(FleetInstance instance, RequestFlow flow) {
        if (!instance.isAlive()) {
            return;
        }
        reportShares(instance, () -> flow.sharesChanged(instance));
        clock.after(HEARTBEAT_NANOS, () -> heartbeat(instance, flow));
    }

    private void engineReport(DispatcherSlot slot, RequestFlow flow) {
        final LoadReport report = slot.engine().report();
        final long lag = LEAST_REPORT_LAG_NANOS + random.nextLong(REPORT_LAG_SPREAD_NANOS);
        clock.after(
                lag,
                () -> {
                    if (slot.dispatcher() != null) {
                        slot.dispatcher().applyLoadReport(report, clock.nowNanos());
                        flow.perform(slot);
                    }
                });
        clock.after(ENGINE_REPORT_NANOS, () -> engineReport(slot, flow));
    }

    private void publish(DispatcherSlot slot) {
        if (slot.dispatcher() != null) {
            final BackendSummary summary = slot.dispatcher().summary();
            final FleetInstance host = slot.host();
            if (slot.publishes(summary.sequence())) {
                for (final FleetInstance instance : instances) {
                    clock.after(
                            link(host, instance),
                            () -> {
                                instance.table().apply(summary);
                                instance.table().setDispatcher(summary.name(), host.name());
                            });
                }
            }
        }
        clock.after(PUBLISH_NANOS, () -> publish(slot));
    }

    private void tick(DispatcherSlot slot, RequestFlow flow) {
        if (slot.dispatcher() != null) {
            slot.dispatcher().tick(clock.nowNanos());
            flow.perform(slot);
        }
        clock.after(TICK_NANOS, () -> tick(slot, flow));
    }

    private void leaderTick(RequestFlow flow) {
        if (leader.isAlive()) {
            allocator.tick(clock.nowNanos());
            grantLoads(flow);
        }
        clock.after(TICK_NANOS, () -> leaderTick(flow));
    }

    private void grantLoads(RequestFlow flow) {
        if (leader.isAlive()) {
            loadBudget.tick(clock.nowNanos()).forEach(grant -> deliver(grant, flow));
        }
    }

    private void deliver(LoadGrant grant, RequestFlow flow) {
        final DispatcherSlot slot = slots.get(grant.backendServer());
        clock.after(
                link(leader, instance(grant.holder())),
                () -> {
                    final boolean same =
                            slot.dispatcher() != null && slot.host().name().equals(grant.holder());
                    if (same) {
                        slot.dispatcher().handleLoadGrant(grant.version(), clock.nowNanos());
                        flow.perform(slot);
                    }
                });
    }
}
