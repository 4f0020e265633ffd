package org.crocushaven.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;
import org.crocushaven.result.ResultException;

/**
 * Takes in the announcements of backend servers: applies them to the registry, passes them on to
 * the other instances, and lets departures be acknowledged once they are committed. Used on one
 * event loop only.
 */
final class AnnouncementIntake {
    private final String instance;
    private final PeerTransport transport;
    private final GroupMembership membership;
    private final BackendRegistry registry;
    private final DepartureLog departures;
    private final UpdateNotices notices;
    private final Supplier<FleetLeader> leader;
    private final Function<Message, CompletableFuture<Message>> leaderCall;
    private final NanoClock clock;
    private final EpochClock epochClock;

    /**
     * Creates the intake of an instance.
     *
     * @param leader returns the leader if this instance leads, otherwise null
     * @param leaderCall passes a message on to the instance that leads
     */
    AnnouncementIntake(
            String instance,
            PeerTransport transport,
            GroupMembership membership,
            BackendRegistry registry,
            DepartureLog departures,
            UpdateNotices notices,
            Supplier<FleetLeader> leader,
            Function<Message, CompletableFuture<Message>> leaderCall,
            NanoClock clock,
            EpochClock epochClock) {
        this.instance = instance;
        this.transport = transport;
        this.membership = membership;
        this.registry = registry;
        this.departures = departures;
        this.notices = notices;
        this.leader = leader;
        this.leaderCall = leaderCall;
        this.clock = clock;
        this.epochClock = epochClock;
    }

    /** Takes an announcement of a backend server; completes when it may be acknowledged. */
    CompletableFuture<Void> announce(BackendAnnouncement received) {
        final BackendAnnouncement announcement =
                received.isDeregistration() ? received.withStart(epochClock.time()) : received;
        apply(announcement);
        if (announcement.state() == BackendState.READY) {
            passOnExceptTo("", announcement);
            return CompletableFuture.completedFuture(null);
        }
        final long receivedNanos = clock.nanoTime();
        return announceDeparture(announcement)
                .thenRun(() -> logAcknowledgement(announcement, receivedNanos));
    }

    /** Takes an announcement that another instance passed on while this one leads. */
    CompletableFuture<Void> announcedToLeader(BackendAnnouncement announcement) {
        apply(announcement);
        return announcement.state() == BackendState.READY
                ? CompletableFuture.completedFuture(null)
                : commitDeparture(announcement);
    }

    /**
     * Applies an announcement to the registry and, if this instance leads, to the fleet.
     *
     * @throws ResultException with {@code ANNOUNCEMENT_INVALID} if it names no backend server that
     *     can be called
     */
    void apply(BackendAnnouncement announcement) {
        AnnouncementRule.requireUsable(announcement);
        final BackendState before =
                registry.find(announcement.backend())
                        .map(BackendAnnouncement::state)
                        .orElse(BackendState.GONE);
        if (!registry.accept(announcement, clock.nanoTime())) {
            return;
        }
        if (announcement.state() != before) {
            logStateChange(registry.find(announcement.backend()).orElse(announcement), before);
        }
        final FleetLeader activeLeader = leader.get();
        if (activeLeader != null) {
            activeLeader.announced(announcement);
            if (announcement.state() != before) {
                activeLeader.refresh();
                notices.request();
            }
        }
    }

    private CompletableFuture<Void> announceDeparture(BackendAnnouncement announcement) {
        if (leader.get() != null) {
            passOnExceptTo("", announcement);
            return commitDeparture(announcement);
        }
        passOnExceptTo(membership.leader().orElse(""), announcement);
        return leaderCall.apply(announcement).thenApply(answer -> null);
    }

    /** Commits that a backend server leaves, as it is known now. */
    private CompletableFuture<Void> commitDeparture(BackendAnnouncement announcement) {
        final BackendAnnouncement known =
                registry.find(announcement.backend())
                        .filter(found -> found.state() != BackendState.READY)
                        .orElse(announcement);
        return departures.commit(known.withoutHeld());
    }

    private void passOnExceptTo(String excluded, BackendAnnouncement announcement) {
        for (final String other : membership.controlInstances()) {
            if (!other.equals(instance) && !other.equals(excluded)) {
                transport.send(other, announcement);
            }
        }
    }

    private static void logStateChange(BackendAnnouncement announcement, BackendState before) {
        EventLine.of("backend-state")
                .with("backend", announcement.backend())
                .with("service", announcement.service())
                .with("state", announcement.state())
                .with("previous", before)
                .with("software", announcement.softwareVersion())
                .with("started_ms", announcement.startedMillis())
                .with("sequence", announcement.sequence())
                .info();
    }

    private void logAcknowledgement(BackendAnnouncement announcement, long receivedNanos) {
        final FleetLeader activeLeader = leader.get();
        EventLine.of("departure-acknowledged")
                .with("backend", announcement.backend())
                .with("state", announcement.state())
                .with("sequence", announcement.sequence())
                .with("epoch", activeLeader == null ? "-" : activeLeader.epoch())
                .with("after_ms", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - receivedNanos))
                .info();
    }
}
