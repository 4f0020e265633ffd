package org.crocushaven.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.crocushaven.fleet.AdapterKey;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.HeldAdapter;
import org.crocushaven.fuzz.FaultCounts;
import org.crocushaven.fuzz.FuzzSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Sends requests through one gateway's view to backend servers that leave, pause and start anew,
 * while the leader's records come late, twice and out of order.
 */
@Tag("fuzz")
class BackendNoticesFuzzTest {
    private static final int CASES = 200;

    @Test
    void departuresAndPausesAreRespected() {
        final FaultCounts<Fault> counts = FaultCounts.of(Fault.class);
        FuzzSettings.forEachCase("notices", CASES, seed -> new Scenario(seed, counts).run());
        counts.print("notices");
        counts.assertAllOccurred();
    }

    private enum Fault {
        LEAVING_SERVER_ANSWERED,
        REQUEST_TURNED_AWAY,
        STARTED_ANEW,
        RECORD_OF_LEAVING_START_RECEIVED,
        RECORD_OF_EARLIER_START_RECEIVED,
        RECORD_REMOVED,
        ANSWER_OF_EARLIER_START_RECEIVED,
        WITHDRAWN_BEFORE_WRITE,
        ALL_PAUSED,
        USED_AFTER_PAUSE
    }

    private static final class Scenario {
        private static final String SERVICE = "engines";
        private static final AdapterKey KEY = new AdapterKey("base", "a1");
        private static final int BACKENDS = 4;
        private static final int STEPS = 3_000;
        private static final long MILLISECOND = 1_000_000L;
        private static final long DRAIN_NANOS = 2_000 * MILLISECOND;
        private static final long NOTICED_NANOS = 500 * MILLISECOND;
        private static final long LONGEST_TRIP_NANOS = 80 * MILLISECOND;
        private static final long LONGEST_RECORD_DELAY_NANOS = 900 * MILLISECOND;
        private static final int MOST_IN_PAUSE = 2;

        private final SplittableRandom random;
        private final FaultCounts<Fault> counts;
        private final GatewayBackends view = new GatewayBackends(new Random(1));
        private final List<Server> servers = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
        private long now;

        private Scenario(long seed, FaultCounts<Fault> counts) {
            this.random = new SplittableRandom(seed);
            this.counts = counts;
            for (int number = 0; number < BACKENDS; number++) {
                servers.add(new Server("backend-" + number));
            }
        }

        private void run() {
            servers.forEach(server -> receive(List.of(server.record()), List.of()));
            for (int step = 0; step < STEPS; step++) {
                final long next = now + random.nextLong(12 * MILLISECOND);
                runEventsUntil(next);
                now = next;
                choose();
            }
        }

        private void runEventsUntil(long nanos) {
            while (!events.isEmpty() && events.peek().atNanos() <= nanos) {
                final Event due = events.poll();
                now = due.atNanos();
                due.action().run();
            }
        }

        private void choose() {
            final Server server = servers.get(random.nextInt(BACKENDS));
            final int choice = random.nextInt(200);
            if (choice < 120) {
                request();
            } else if (choice < 150) {
                sendRecordOf(server);
            } else if (choice < 153) {
                server.leaving = true;
            } else if (choice < 157) {
                server.pauseEnd = Math.max(server.pauseEnd, now + pauseNanos());
            } else if (choice < 160) {
                restart(server);
            } else if (choice < 161) {
                counts.count(Fault.RECORD_REMOVED);
                receive(List.of(), List.of(server.name));
            }
        }

        private long pauseNanos() {
            return random.nextLong(3_000 * MILLISECOND);
        }

        private void restart(Server server) {
            counts.count(Fault.STARTED_ANEW);
            server.start++;
            server.leaving = false;
            server.pauseEnd = now;
            server.turnedAway.clear();
            server.leftNanos = Optional.empty();
            sendRecordOf(server);
        }

        private void sendRecordOf(Server server) {
            final BackendRecord record = server.record();
            later(LONGEST_RECORD_DELAY_NANOS, () -> receive(List.of(record), List.of()));
        }

        private void receive(List<BackendRecord> changed, List<String> gone) {
            changed.forEach(this::countRecord);
            view.apply(GatewayUpdateBuilder.ofBackends(changed, gone), now, now);
        }

        private void countRecord(BackendRecord record) {
            final Server server = named(record.backend());
            if (record.startedMillis() < server.start) {
                counts.count(Fault.RECORD_OF_EARLIER_START_RECEIVED);
            } else if (server.leftNanos.isPresent()) {
                counts.count(Fault.RECORD_OF_LEAVING_START_RECEIVED);
            }
        }

        private Server named(String name) {
            return servers.stream().filter(server -> server.name.equals(name)).findAny().get();
        }

        private void request() {
            final List<BackendRecord> usable = view.ofService(SERVICE, now);
            assertEquals(names(usable), names(view.holdersOf(SERVICE, KEY, now)));
            assertEquals(
                    usable.isEmpty(),
                    view.earliestHolder(SERVICE, KEY, record -> true, now).isEmpty());
            view.pauseOf(SERVICE, now)
                    .ifPresent(
                            pause -> {
                                counts.count(Fault.ALL_PAUSED);
                                assertTrue(usable.isEmpty());
                            });
            servers.forEach(server -> assertOffered(server, names(usable)));
            if (!usable.isEmpty()) {
                final BackendRecord chosen = usable.get(random.nextInt(usable.size()));
                final long sentByClientNanos = now;
                later(LONGEST_TRIP_NANOS, () -> write(chosen, sentByClientNanos));
            }
        }

        private static Set<String> names(List<BackendRecord> records) {
            return records.stream().map(BackendRecord::backend).collect(Collectors.toSet());
        }

        /** Checks that a backend server is offered that has been quiet since its known start. */
        private void assertOffered(Server server, Set<String> usable) {
            final boolean known =
                    view.find(server.name)
                            .filter(record -> record.startedMillis() == server.start)
                            .isPresent();
            final boolean quiet = server.quietSinceNanos(now) && server.leftNanos.isEmpty();
            if (known && quiet && !server.leaving && server.pauseEnd <= now) {
                assertTrue(usable.contains(server.name), server.name + " is not offered");
                if (server.paused) {
                    server.paused = false;
                    counts.count(Fault.USED_AFTER_PAUSE);
                }
            }
        }

        private void write(BackendRecord chosen, long sentByClientNanos) {
            if (view.notices().allowRequests(chosen, now)) {
                arrive(named(chosen.backend()), chosen, sentByClientNanos);
            } else {
                counts.count(Fault.WITHDRAWN_BEFORE_WRITE);
            }
        }

        private void arrive(Server server, BackendRecord chosen, long sentByClientNanos) {
            server.leftNanos.ifPresent(
                    left ->
                            assertTrue(
                                    sentByClientNanos <= left + DRAIN_NANOS,
                                    "DRAIN at " + server.name));
            server.turnedAway.forEach(pause -> pause.countArrival(now, server.name));
            final long start = server.start;
            final long pauseNanos = server.pauseEnd - now;
            final boolean leaving = server.leaving;
            if (pauseNanos > 0) {
                counts.count(Fault.REQUEST_TURNED_AWAY);
                server.paused = true;
                server.turnedAway.add(new TurnedAway(now, now + pauseNanos));
            }
            later(
                    LONGEST_TRIP_NANOS,
                    () -> answer(server, chosen, start, leaving, Math.max(0, pauseNanos)));
        }

        private void answer(
                Server server, BackendRecord chosen, long start, boolean leaving, long pause) {
            if (server.start != start) {
                counts.count(Fault.ANSWER_OF_EARLIER_START_RECEIVED);
            }
            if (pause > 0) {
                view.notices().recordPause(chosen.backend(), Duration.ofNanos(pause), now);
                server.heard(now + pause);
            }
            if (leaving) {
                counts.count(Fault.LEAVING_SERVER_ANSWERED);
                view.notices().recordLeaving(chosen);
                if (server.start == start && chosen.startedMillis() == start) {
                    server.leftNanos = Optional.of(server.leftNanos.orElse(now));
                }
            }
        }

        private void later(long longestNanos, Runnable action) {
            events.add(new Event(now + random.nextLong(longestNanos), action));
        }
    }

    /** What a backend server really does. */
    private static final class Server {
        private final String name;
        private final List<TurnedAway> turnedAway = new ArrayList<>();
        private long start = 1;
        private boolean leaving;
        private boolean paused;
        private long pauseEnd;
        private long heardPauseEnd;
        private Optional<Long> leftNanos = Optional.empty();

        private Server(String name) {
            this.name = name;
        }

        private void heard(long endNanos) {
            heardPauseEnd = Math.max(heardPauseEnd, endNanos);
        }

        private boolean quietSinceNanos(long nowNanos) {
            return heardPauseEnd <= nowNanos;
        }

        private BackendRecord record() {
            return BackendRecordBuilder.of(name, Scenario.SERVICE)
                    .withSlots(8)
                    .holding(new HeldAdapter("base", "a1", 1))
                    .startedAt(start)
                    .build();
        }
    }

    /** A request that was turned away with a pause, and the requests that came in that pause. */
    private static final class TurnedAway {
        private final long answeredNanos;
        private final long endNanos;
        private int arrivals;

        private TurnedAway(long answeredNanos, long endNanos) {
            this.answeredNanos = answeredNanos;
            this.endNanos = endNanos;
        }

        private void countArrival(long nowNanos, String name) {
            if (nowNanos > answeredNanos + Scenario.NOTICED_NANOS && nowNanos < endNanos) {
                arrivals++;
                assertTrue(arrivals <= Scenario.MOST_IN_PAUSE, "BUDGET at " + name);
            }
        }
    }

    private record Event(long atNanos, Runnable action) {}
}
