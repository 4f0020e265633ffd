package org.crocushaven.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.crocushaven.fuzz.FaultCounts;

/**
 * Three control instances and backend servers that come and go, with the rule that no leader offers
 * a start of a backend server whose departure was acknowledged.
 */
final class DepartureScenario implements AutoCloseable {
    private static final int BACKENDS = 6;
    private static final long LEADER_MILLIS = 20_000;

    private final ControlFleet fleet;
    private final SplittableRandom random;
    private final FaultCounts<DepartureFault> counts;
    private final Map<String, Life> lives = new TreeMap<>();
    private final List<String> history = new ArrayList<>();
    private Optional<String> isolated = Optional.empty();
    private long highestAcknowledgedEpoch;
    private long startedMillis = System.currentTimeMillis();

    DepartureScenario(Path folder, long seed, FaultCounts<DepartureFault> counts) {
        this.fleet = new ControlFleet(folder);
        this.random = new SplittableRandom(seed);
        this.counts = counts;
        ControlFleet.VOTERS.forEach(fleet::start);
        awaitLeader(); // The first election needs all voters.
        for (int number = 0; number < BACKENDS; number++) {
            lives.put("backend-" + number, new Life(++startedMillis));
        }
        awaitTime(startedMillis);
    }

    /** Lets one thing happen and checks all leaders. */
    void step() {
        if (random.nextInt(5) > 0) {
            awaitLeader();
        }
        switch (random.nextInt(12)) {
            case 0 -> isolate(leader());
            case 1 -> isolate(Optional.of(anyInstance()));
            case 2 -> restart();
            case 3 -> toggleLoss();
            case 4, 5, 6 -> heartbeat();
            case 7, 8 -> depart();
            case 9, 10 -> lateHeartbeat();
            default -> startAgain();
        }
        check();
    }

    /** Heals everything and checks until an instance leads. */
    void settle() {
        heal();
        fleet.network().loseNothing();
        awaitLeader();
        check();
    }

    private void awaitLeader() {
        final long startNanos = System.nanoTime();
        while (leader().isEmpty()) {
            if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) > LEADER_MILLIS) {
                throw new AssertionError("no instance leads though two reach each other");
            }
        }
    }

    @Override
    public void close() {
        fleet.close();
    }

    private void isolate(Optional<String> chosen) {
        heal();
        chosen.ifPresent(
                name -> {
                    counts.count(
                            leader().equals(chosen)
                                    ? DepartureFault.LEADER_ISOLATED
                                    : DepartureFault.FOLLOWER_ISOLATED);
                    history.add("isolated " + name);
                    fleet.network().isolate(name);
                    isolated = chosen;
                });
    }

    private void heal() {
        isolated.ifPresent(fleet.network()::reconnect);
        isolated = Optional.empty();
    }

    private void restart() {
        heal();
        final String name = leader().orElse(anyInstance());
        counts.count(DepartureFault.RESTARTED);
        history.add("restarted " + name);
        fleet.stop(name);
        fleet.start(name);
    }

    private void toggleLoss() {
        if (random.nextBoolean()) {
            counts.count(DepartureFault.ANNOUNCEMENTS_LOST);
            history.add("announcements lost");
            fleet.network().loseOneWay(BackendAnnouncement.class);
        } else {
            history.add("nothing lost");
            fleet.network().loseNothing();
        }
    }

    /** Announces to any instance; returns whether it acknowledged. */
    private boolean announce(BackendAnnouncement announcement) {
        final String instance = anyInstance();
        final boolean acknowledged = fleet.announce(instance, announcement);
        history.add(
                announcement.backend()
                        + ' '
                        + announcement.state()
                        + ' '
                        + announcement.startedMillis()
                        + '/'
                        + announcement.sequence()
                        + (acknowledged ? " acknowledged by " : " refused by ")
                        + instance
                        + " in epoch "
                        + leaderEpoch());
        return acknowledged;
    }

    private void heartbeat() {
        final String backend = anyBackend();
        final Life life = lives.get(backend);
        if (!life.leaves) {
            announce(life.next(backend, BackendState.READY));
            life.readySequence = life.sequence;
        }
    }

    private void depart() {
        final String backend = anyBackend();
        final Life life = lives.get(backend);
        life.leaves = true;
        final BackendAnnouncement departure =
                random.nextBoolean()
                        ? life.next(backend, BackendState.DRAINING)
                        : BackendAnnouncement.deregistration(backend);
        final boolean acknowledged = announce(departure);
        life.acknowledged |= acknowledged;
        counts.count(acknowledged ? DepartureFault.ACKNOWLEDGED : DepartureFault.UNACKNOWLEDGED);
        if (acknowledged) {
            highestAcknowledgedEpoch = Math.max(highestAcknowledgedEpoch, leaderEpoch());
        }
    }

    private void lateHeartbeat() {
        lives.forEach(
                (backend, life) -> {
                    if (life.acknowledged && life.readySequence > 0) {
                        counts.count(DepartureFault.LATE_HEARTBEAT);
                        announce(
                                life.announcement(backend, life.readySequence, BackendState.READY));
                    }
                });
    }

    private void startAgain() {
        final String backend = anyBackend();
        if (lives.get(backend).leaves) {
            counts.count(DepartureFault.STARTED_AGAIN);
            startedMillis = Math.max(startedMillis, System.currentTimeMillis()) + 1;
            lives.put(backend, new Life(startedMillis));
            awaitTime(startedMillis);
        }
    }

    /**
     * Waits until a start is not in the future, since a deregistration ends earlier starts only.
     */
    private static void awaitTime(long unixMillis) {
        while (System.currentTimeMillis() <= unixMillis) {
            Thread.onSpinWait();
        }
    }

    private void check() {
        for (final String instance : ControlFleet.VOTERS) {
            if (fleet.report(instance) instanceof GatewayUpdate update) {
                if (highestAcknowledgedEpoch > 0 && update.epoch() > highestAcknowledgedEpoch) {
                    counts.count(DepartureFault.LATER_LEADER);
                }
                update.changed().forEach(record -> check(instance, update.epoch(), record));
            }
        }
    }

    private void check(String instance, long epoch, BackendRecord record) {
        final Life life = lives.get(record.backend());
        if (record.acceptsRequests() && life.acknowledged) {
            throw new AssertionError(
                    instance
                            + " offers "
                            + record.backend()
                            + " in epoch "
                            + epoch
                            + " after its departure was acknowledged: "
                            + history);
        }
    }

    private Optional<String> leader() {
        return ControlFleet.VOTERS.stream()
                .filter(name -> fleet.report(name) instanceof GatewayUpdate)
                .findFirst();
    }

    private long leaderEpoch() {
        return ControlFleet.VOTERS.stream()
                .map(fleet::report)
                .filter(GatewayUpdate.class::isInstance)
                .mapToLong(answer -> ((GatewayUpdate) answer).epoch())
                .max()
                .orElse(0);
    }

    private String anyInstance() {
        return ControlFleet.VOTERS.get(random.nextInt(ControlFleet.VOTERS.size()));
    }

    private String anyBackend() {
        return "backend-" + random.nextInt(BACKENDS);
    }

    /** One start of a backend server. */
    private static final class Life {
        private final long startedMillis;
        private long sequence;
        private long readySequence;
        private boolean leaves;
        private boolean acknowledged;

        private Life(long startedMillis) {
            this.startedMillis = startedMillis;
        }

        private BackendAnnouncement next(String backend, BackendState state) {
            return announcement(backend, ++sequence, state);
        }

        private BackendAnnouncement announcement(String backend, long number, BackendState state) {
            return new BackendAnnouncement(
                    backend,
                    "service",
                    "10.0.0.1",
                    80 + backend.charAt(backend.length() - 1),
                    "a",
                    state,
                    4,
                    startedMillis,
                    number,
                    false,
                    List.of(),
                    "",
                    0);
        }
    }
}
