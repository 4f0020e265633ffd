package org.crocushaven.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerAddresses;
import org.crocushaven.protocol.PeerTransport;

/**
 * Keeps the membership table up to date by probing one instance after the other.
 *
 * <p>Probes and their answers carry recent changes. When two tables differ although no change is
 * pending, whole tables are exchanged. The lock that guards the table has rank 80.
 */
public final class MembershipService implements MembershipView, PeerAddresses {
    private static final int MAXIMUM_CHANGES_PER_MESSAGE = 16;
    private static final int CRASHED_PROBE_INTERVAL_TICKS = 5;
    private static final int MAXIMUM_ANNOUNCEMENT_PEERS = 8;

    private final MembershipSettings settings;
    private final List<String> seeds;
    private final NanoClock clock;
    private final Random random;
    private final MembershipTable table;
    private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
    private final List<String> probeOrder = new ArrayList<>();
    private PeerTransport transport;
    private ScheduledFuture<?> timer;
    private long ticks;

    private MembershipService(
            InstanceRecord self,
            List<String> seeds,
            MembershipSettings settings,
            NanoClock clock,
            Random random) {
        this.settings = settings;
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        this.random = random;
        this.table = MembershipTable.create(self, settings, clock.nanoTime());
    }

    /**
     * Returns a service that knows only this instance and the seeds.
     *
     * @param seeds addresses on which peers listen for other instances, {@code host:port}
     */
    public static MembershipService create(
            InstanceRecord self,
            List<String> seeds,
            MembershipSettings settings,
            NanoClock clock,
            Random random) {
        return new MembershipService(self, seeds, settings, clock, random);
    }

    /** Adds a listener; call before {@link #start}. */
    public void addListener(MembershipListener listener) {
        listeners.add(listener);
    }

    /** Registers the handler for probes; call before the transport listens. */
    public void attach(PeerTransport peerTransport) {
        transport = peerTransport;
        peerTransport.registerHandler(Gossip.class, this::answer);
    }

    /** Starts probing on the given executor. */
    public void start(ScheduledExecutorService executor) {
        timer =
                executor.scheduleAtFixedRate(
                        GuardedTask.of(this::tick),
                        0,
                        settings.probeIntervalMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /** Announces to other instances that this instance is about to stop. */
    public void announceLeaving() {
        announce(InstanceRecord.State.LEAVING);
    }

    /** Announces to other instances that this instance has stopped, and ends probing. */
    public void stop() {
        announce(InstanceRecord.State.LEFT);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    @Override
    public InstanceRecord self() {
        synchronized (table) {
            return table.self();
        }
    }

    @Override
    public List<InstanceRecord> instances() {
        synchronized (table) {
            return table.instances();
        }
    }

    @Override
    public Optional<InstanceRecord> find(String name) {
        synchronized (table) {
            return table.find(name);
        }
    }

    @Override
    public Optional<InetSocketAddress> addressOf(String instance) {
        final int colon = instance.lastIndexOf(':');
        if (colon > 0) {
            return Optional.of(
                    new InetSocketAddress(
                            instance.substring(0, colon),
                            Integer.parseInt(instance.substring(colon + 1))));
        }
        return find(instance)
                .map(record -> new InetSocketAddress(record.host(), record.innerPort()));
    }

    private void tick() {
        final List<InstanceRecord> changed;
        synchronized (table) {
            changed = table.tick(clock.nanoTime());
        }
        notifyListeners(changed);
        nextReachableTarget().ifPresent(this::probe);
        if (ticks++ % CRASHED_PROBE_INTERVAL_TICKS == 0) {
            crashedOrUnknownTarget().ifPresent(this::probe);
        }
    }

    private void probe(String target) {
        transport
                .request(
                        target,
                        createGossip(target, false),
                        Duration.ofMillis(settings.probeTimeoutMillis()))
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null) {
                                receive(target, (Gossip) answer);
                            } else {
                                handleProbeFailure(target);
                            }
                        });
    }

    private void handleProbeFailure(String target) {
        final Optional<InstanceRecord> changed;
        synchronized (table) {
            changed = table.recordProbeFailure(target, clock.nanoTime());
        }
        changed.ifPresent(record -> notifyListeners(List.of(record)));
    }

    private void receive(String sender, Gossip gossip) {
        final List<InstanceRecord> changed;
        final boolean differs;
        synchronized (table) {
            changed = table.merge(gossip.records(), clock.nanoTime());
            differs = table.digest() != gossip.digest() && !table.hasPendingChanges();
        }
        notifyListeners(changed);
        if (differs && !gossip.complete()) {
            transport
                    .request(
                            sender,
                            createGossip(sender, true),
                            Duration.ofMillis(settings.probeTimeoutMillis()))
                    .thenAccept(answer -> receive(sender, (Gossip) answer));
        }
    }

    private CompletableFuture<Message> answer(String sender, Gossip probe) {
        final List<InstanceRecord> changed;
        final Gossip answer;
        synchronized (table) {
            changed = table.merge(probe.records(), clock.nanoTime());
            answer = createGossip(sender, probe.complete() || table.find(sender).isEmpty());
        }
        notifyListeners(changed);
        return CompletableFuture.completedFuture(answer);
    }

    private Gossip createGossip(String receiver, boolean complete) {
        synchronized (table) {
            if (complete || table.instances().size() == 1) {
                return new Gossip(table.digest(), true, table.instances());
            }
            final List<InstanceRecord> records =
                    new ArrayList<>(table.takePendingChanges(MAXIMUM_CHANGES_PER_MESSAGE));
            table.find(receiver)
                    .filter(record -> record.state() != InstanceRecord.State.ALIVE)
                    .ifPresent(records::add);
            return new Gossip(table.digest(), false, records);
        }
    }

    private Optional<String> nextReachableTarget() {
        synchronized (table) {
            if (probeOrder.isEmpty()) {
                table.instances().stream()
                        .filter(record -> record.state().isReachable())
                        .map(InstanceRecord::name)
                        .filter(name -> !name.equals(table.self().name()))
                        .forEach(probeOrder::add);
                Collections.shuffle(probeOrder, random);
            }
            return probeOrder.isEmpty()
                    ? Optional.empty()
                    : Optional.of(probeOrder.remove(probeOrder.size() - 1));
        }
    }

    private Optional<String> crashedOrUnknownTarget() {
        synchronized (table) {
            final List<String> targets = new ArrayList<>();
            table.instances().stream()
                    .filter(record -> record.state() == InstanceRecord.State.CRASHED)
                    .map(InstanceRecord::name)
                    .forEach(targets::add);
            seeds.stream().filter(this::isUnknown).forEach(targets::add);
            return targets.isEmpty()
                    ? Optional.empty()
                    : Optional.of(targets.get(random.nextInt(targets.size())));
        }
    }

    private boolean isUnknown(String seed) {
        return table.instances().stream()
                .noneMatch(record -> seed.equals(record.host() + ":" + record.innerPort()));
    }

    private void announce(InstanceRecord.State state) {
        final List<String> peers;
        final Gossip message;
        synchronized (table) {
            final InstanceRecord self = table.announce(state, clock.nanoTime());
            message = new Gossip(table.digest(), false, List.of(self));
            peers =
                    new ArrayList<>(
                            table.instances().stream()
                                    .filter(record -> record.state().isReachable())
                                    .map(InstanceRecord::name)
                                    .filter(name -> !name.equals(self.name()))
                                    .toList());
            Collections.shuffle(peers, random);
        }
        peers.stream()
                .limit(MAXIMUM_ANNOUNCEMENT_PEERS)
                .forEach(peer -> transport.send(peer, message));
    }

    private void notifyListeners(List<InstanceRecord> changed) {
        changed.forEach(record -> listeners.forEach(listener -> listener.changed(record)));
    }
}
