package org.crocushaven.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.MessageHandler;
import org.crocushaven.protocol.PeerTransport;

/** Replicas on a virtual clock whose links lose, duplicate and delay messages or are cut. */
final class SimulatedCluster {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long LINK_NANOS = TimeUnit.MICROSECONDS.toNanos(1_500);
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final FormationRule formation;
    private final ReplicaTiming timing;
    private final SplittableRandom random;
    private final FaultCounts<ReplicaFault> counts;
    private final ClusterOracle oracle = new ClusterOracle();
    private final Map<String, SimulatedReplica> replicas = new LinkedHashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos = TimeUnit.SECONDS.toNanos(1);
    private long nextNumber;
    private double faultChance;

    SimulatedCluster(
            List<String> names,
            List<String> voters,
            FormationRule formation,
            ReplicaTiming timing,
            SplittableRandom random,
            FaultCounts<ReplicaFault> counts) {
        this.formation = formation;
        this.timing = timing;
        this.random = random;
        this.counts = counts;
        names.forEach(name -> start(name, voters));
    }

    /** Starts an instance that was never there before and is no voter. */
    void startSpare(String name) {
        start(name, List.of());
    }

    private void start(String name, List<String> voters) {
        final SimulatedReplica replica =
                new SimulatedReplica(
                        name,
                        voters,
                        formation,
                        timing,
                        new Link(name),
                        oracle,
                        counts,
                        random.split());
        replicas.put(name, replica);
        restart(replica);
    }

    ClusterOracle oracle() {
        return oracle;
    }

    long nowNanos() {
        return nowNanos;
    }

    SimulatedReplica replica(String name) {
        return replicas.get(name);
    }

    List<SimulatedReplica> replicas() {
        return List.copyOf(replicas.values());
    }

    /** Returns the leaders that are not frozen; there may be several, of different terms. */
    List<SimulatedReplica> leaders() {
        return replicas.values().stream()
                .filter(replica -> replica.isUp() && !replica.isFrozen(nowNanos))
                .filter(replica -> replica.core().isLeader())
                .toList();
    }

    void setFaultChance(double chance) {
        faultChance = chance;
    }

    void cut(String from, String to) {
        cutLinks.add(from + '>' + to);
    }

    void isolate(String name) {
        for (String other : replicas.keySet()) {
            cut(name, other);
            cut(other, name);
        }
    }

    /** Returns whether messages of one instance reach another. */
    boolean reaches(String from, String to) {
        return !cutLinks.contains(from + '>' + to);
    }

    void healLinks() {
        cutLinks.clear();
    }

    void restart(SimulatedReplica replica) {
        replica.start(nowNanos);
        scheduleTick(replica);
    }

    /** Advances the time and checks the safety properties after each event. */
    void run(long millis) {
        final long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            final Event event = events.poll();
            nowNanos = Math.max(nowNanos, event.atNanos());
            event.action().run();
            checkLeases();
            oracle.verify();
        }
        nowNanos = endNanos;
    }

    private void checkLeases() {
        final List<SimulatedReplica> holders =
                replicas.values().stream().filter(replica -> replica.holdsLease(nowNanos)).toList();
        oracle.require(
                holders.size() <= 1,
                "lease held by several replicas: "
                        + holders.stream().map(SimulatedReplica::name).toList());
        for (SimulatedReplica holder : holders) {
            if (!holder.isFrozen(nowNanos)) {
                oracle.checkLeaseHolder(holder.name(), holder.appliedIndex());
            }
        }
    }

    private void scheduleTick(SimulatedReplica replica) {
        schedule(nowNanos + TICK_NANOS, () -> tick(replica, replica.core()));
    }

    private void tick(SimulatedReplica replica, ReplicaCore scheduledCore) {
        if (replica.core() != scheduledCore || !replica.isUp()) {
            return;
        }
        if (replica.isFrozen(nowNanos)) {
            schedule(replica.frozenUntilNanos(), () -> tick(replica, scheduledCore));
            return;
        }
        if (replica.finishRound(nowNanos)) {
            schedule(nowNanos + TICK_NANOS, () -> tick(replica, scheduledCore));
        }
    }

    private void deliver(String sender, String receiver, GroupMessage message) {
        final SimulatedReplica replica = replicas.get(receiver);
        if (!replica.isUp() || cutLinks.contains(sender + '>' + receiver)) {
            return;
        }
        if (replica.isFrozen(nowNanos)) {
            schedule(replica.frozenUntilNanos(), () -> deliver(sender, receiver, message));
            return;
        }
        replica.receive(sender, message, nowNanos);
        if (random.nextInt(4) > 0) {
            replica.finishRound(nowNanos);
        }
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextNumber++, action));
    }

    private record Event(long atNanos, long number, Runnable action) {}

    private final class Link implements PeerTransport {
        private final String sender;

        private Link(String sender) {
            this.sender = sender;
        }

        @Override
        public void send(String instance, Message message) {
            if (!replicas.containsKey(instance) || cutLinks.contains(sender + '>' + instance)) {
                return;
            }
            if (random.nextDouble() < faultChance) {
                counts.count(ReplicaFault.MESSAGE_LOST);
                return;
            }
            transmit(instance, (GroupMessage) message);
            if (random.nextDouble() < faultChance) {
                counts.count(ReplicaFault.MESSAGE_DOUBLED);
                transmit(instance, (GroupMessage) message);
            }
        }

        @Override
        public CompletableFuture<Message> request(
                String instance, Message message, Duration timeout) {
            throw new UnsupportedOperationException(
                    "replicas only send messages without a response");
        }

        @Override
        public <M extends Message> void registerHandler(Class<M> type, MessageHandler<M> handler) {
            // The cluster delivers messages to the replicas directly.
        }

        private void transmit(String instance, GroupMessage message) {
            long delayNanos = LINK_NANOS + random.nextLong(LINK_NANOS);
            if (random.nextDouble() < faultChance) {
                counts.count(ReplicaFault.MESSAGE_LATE);
                delayNanos += random.nextLong(LATE_NANOS);
            }
            schedule(nowNanos + delayNanos, () -> deliver(sender, instance, message));
        }
    }
}
