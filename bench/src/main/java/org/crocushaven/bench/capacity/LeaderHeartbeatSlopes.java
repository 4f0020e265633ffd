package org.crocushaven.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.ShareAllocator;
import org.crocushaven.admission.ShareAllocatorSettings;
import org.crocushaven.admission.ShareHolder;
import org.crocushaven.coordination.AnnouncedServer;
import org.crocushaven.coordination.DispatcherAssignments;
import org.crocushaven.coordination.HeldAssignment;
import org.crocushaven.coordination.SessionAnswer;
import org.crocushaven.coordination.SessionHeartbeat;
import org.crocushaven.coordination.SessionSettings;
import org.crocushaven.protocol.MessageCodec;
import org.crocushaven.protocol.MessageType;

/**
 * What one heartbeat costs the leader: decoding, sessions, assignments, shares, encoding.
 *
 * <p>Each instance dispatches for 3 backend servers, 5 organisations have demand everywhere, and
 * one tick in 50 ms is shared by the heartbeats that fall into it.
 */
final class LeaderHeartbeatSlopes {
    private static final int[] SIZES = {7, 70, 275, 550};
    private static final int BACKENDS_EACH = 3;
    private static final long INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(SessionSettings.DEFAULT_HEARTBEAT_MILLIS);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int FRAME_BYTES = 16;

    private LeaderHeartbeatSlopes() {}

    /** Returns the slope of the leader's processor time for one heartbeat. */
    static Slope processorTime() {
        return Slope.of(
                "leader-heartbeat-cpu",
                "instances",
                "us/heartbeat",
                SIZES,
                size -> ProcessorTime.microsecondsOf(Leader.settled(size)::nextHeartbeat));
    }

    /** Returns the slope of the bytes of a heartbeat and its answer when nothing has changed. */
    static Slope bytes() {
        return Slope.of(
                "heartbeat-bytes",
                "instances",
                "B/heartbeat and answer",
                SIZES,
                size -> Leader.settled(size).bytesOfExchange());
    }

    /** The leader's decision classes with a number of instances that heartbeat in turn. */
    private static final class Leader {
        private final int size;
        private final DispatcherAssignments assignments;
        private final ShareAllocator shares;
        private final List<ShareHolder> holders = new ArrayList<>();
        private final Map<String, List<HeldAssignment>> held = new HashMap<>();
        private long nowNanos = 1;
        private long lastTickNanos;
        private int next;
        private int lastBytes;

        private Leader(int size) {
            this.size = size;
            this.assignments = DispatcherAssignments.create(1, SessionSettings.defaults(), 1);
            this.shares =
                    ShareAllocator.create(
                            1, ShareAllocatorSettings.defaults(), SampleFleet.organisations(), 1);
            for (int number = 0; number < size; number++) {
                holders.add(ShareHolder.create(1));
            }
        }

        private static Leader settled(int size) {
            final Leader leader = new Leader(size);
            leader.settle();
            return leader;
        }

        /** Runs until every lease of an earlier leader has expired and all is assigned. */
        private void settle() {
            for (int round = 0; round < 16; round++) {
                for (int number = 0; number < size; number++) {
                    nextHeartbeat();
                }
                rememberHeld();
            }
        }

        private int bytesOfExchange() {
            nextHeartbeat();
            return lastBytes;
        }

        private void nextHeartbeat() {
            final int number = next;
            next = (next + 1) % size;
            nowNanos += INTERVAL_NANOS / size;
            final byte[] request = MessageCodec.encode(heartbeat(number));
            final SessionHeartbeat received =
                    (SessionHeartbeat) MessageCodec.decode(MessageType.SESSION_HEARTBEAT, request);
            assignments.heartbeat(received, nowNanos);
            final SessionAnswer answer =
                    new SessionAnswer(
                            1,
                            SessionSettings.DEFAULT_LEASE_MILLIS,
                            1,
                            Optional.empty(),
                            shares.handle(received.instance(), received.shares(), nowNanos));
            holders.get(number).apply(answer.shares(), nowNanos);
            lastBytes = request.length + MessageCodec.encode(answer).length + 2 * FRAME_BYTES;
            if (nowNanos - lastTickNanos >= TICK_NANOS) {
                lastTickNanos = nowNanos;
                assignments.tick(nowNanos);
                shares.tick(nowNanos);
            }
        }

        private SessionHeartbeat heartbeat(int number) {
            final List<AnnouncedServer> heard = new ArrayList<>();
            for (int backend = 0; backend < BACKENDS_EACH; backend++) {
                heard.add(
                        new AnnouncedServer(
                                SampleFleet.server(number + backend * size),
                                AnnouncedServer.State.SERVING));
            }
            final ShareHolder holder = holders.get(number);
            SampleFleet.organisations().forEach(one -> holder.tryCharge(one.name(), 100, nowNanos));
            final String instance = SampleFleet.instance(number);
            return new SessionHeartbeat(
                    instance,
                    SampleFleet.failureDomain(number),
                    1,
                    assignments.table().revision(),
                    false,
                    heard,
                    held.getOrDefault(instance, List.of()),
                    holder.report(nowNanos));
        }

        private void rememberHeld() {
            held.clear();
            assignments
                    .table()
                    .assignments()
                    .forEach(
                            assignment ->
                                    held.computeIfAbsent(
                                                    assignment.dispatcher(),
                                                    name -> new ArrayList<>())
                                            .add(
                                                    new HeldAssignment(
                                                            assignment.server(),
                                                            assignment.fencingNumber())));
        }
    }
}
