package org.crocushaven.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.consensus.GroupHost;
import org.crocushaven.consensus.ReplicaTiming;
import org.crocushaven.consensus.VoterMaintenance;
import org.crocushaven.observability.EventLine;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;

/**
 * Maintains the set of instances that hold control state: announces this instance to the leader
 * and, while this instance is the leader, adds and removes voters. Used on one event loop only.
 */
final class GroupMembership {
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(900);
    private static final long POLL_MILLIS = 20;

    /** Time within which a new leader's first messages are answered; three heartbeats. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final String instance;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final Supplier<GroupHost> group;
    private final Set<String> controlInstances = new LinkedHashSet<>();
    private final VoterMaintenance maintenance;
    private final NanoClock clock;
    private boolean changingVoters;
    private boolean leaving;

    /** Removals of voters that stop and wait for it, by name. */
    private final Map<String, CompletableFuture<Void>> removals = new HashMap<>();

    /** The leader that another instance named last; only of use where the group names none. */
    private Optional<String> leaderByHint = Optional.empty();

    /**
     * Creates the membership of an instance that knows no other.
     *
     * @param toleratedLosses number of instances with control state that may be lost at once
     */
    GroupMembership(
            String instance,
            int toleratedLosses,
            PeerTransport transport,
            EventLoop loop,
            Supplier<GroupHost> group,
            ReplicaTiming timing,
            NanoClock clock) {
        this.instance = instance;
        this.transport = transport;
        this.loop = loop;
        this.group = group;
        this.maintenance = new VoterMaintenance(toleratedLosses, timing, clock.nanoTime());
        this.clock = clock;
    }

    /** Adds instances that may hold control state. */
    void add(List<String> others) {
        controlInstances.addAll(others);
    }

    /** Returns all instances that may hold control state, voters first. */
    List<String> controlInstances() {
        final Set<String> known = new LinkedHashSet<>(group.get().voters());
        known.add(instance);
        known.addAll(controlInstances);
        return new ArrayList<>(known);
    }

    /**
     * Returns the instance to which calls are passed on. An instance that is no voter receives
     * nothing from the leader and relies on the hints of others.
     */
    Optional<String> leader() {
        final Optional<String> known = group.get().leader();
        return known.isPresent() ? known : leaderByHint;
    }

    /** Returns the answer of an instance that is not the leader. */
    ControlHint hint() {
        return new ControlHint(group.get().leader().orElse(""), controlInstances());
    }

    /** Records that an instance can hold control state. */
    void joined(String other) {
        controlInstances.add(other);
        maintenance.heard(other, clock.nanoTime());
    }

    /**
     * Announces this instance to all voters, so that whoever leads next has heard it; while it is
     * no voter, or knows no leader, to all others.
     */
    void join() {
        if (leaving) {
            return;
        }
        final ControlJoin join = new ControlJoin(instance);
        final Optional<String> known = group.get().leader().filter(name -> !name.equals(instance));
        if (known.isPresent() && isVoter()) {
            voters().stream()
                    .filter(name -> !name.equals(instance))
                    .forEach(name -> transport.send(name, join));
            return;
        }
        for (final String other : controlInstances()) {
            if (!other.equals(instance)) {
                transport
                        .request(other, join, JOIN_TIMEOUT)
                        .whenComplete(
                                (answer, failure) -> loop.execute(() -> hintReceived(answer)));
            }
        }
    }

    private void hintReceived(Message answer) {
        if (answer instanceof ControlHint found) {
            controlInstances.addAll(found.controlInstances());
            leaderByHint =
                    Optional.of(found.leader())
                            .filter(name -> !name.isEmpty() && !name.equals(instance))
                            .or(() -> leaderByHint);
            if (!found.leader().isEmpty() && !found.leader().equals(instance)) {
                transport.send(found.leader(), new ControlJoin(instance));
            }
        }
    }

    /** Returns whether this instance votes and another one could vote in its place. */
    boolean canGiveVoteBack() {
        return isVoter() && maintenance.hasSpare(instance, group.get().voters());
    }

    /** Announces this instance no more, because it stops. */
    void stopJoining() {
        leaving = true;
    }

    /** Records that a voter stops. */
    void stopping(String voter) {
        maintenance.stopping(voter);
    }

    /**
     * Replaces a voter that stops, while this instance leads; completes once the removal of that
     * voter is committed.
     */
    CompletableFuture<Void> replaceStopping(String voter) {
        stopping(voter);
        if (!changingVoters && !group.get().voters().contains(voter)) {
            return CompletableFuture.completedFuture(null);
        }
        final CompletableFuture<Void> removal =
                removals.computeIfAbsent(voter, name -> new CompletableFuture<>());
        maintainVoters();
        return removal;
    }

    /** Returns the names of the voters. */
    List<String> voters() {
        return group.get().voters();
    }

    /** Returns whether this instance holds the lease of the group's leader. */
    boolean leads() {
        return group.get().holdsLeaderLease();
    }

    private boolean isVoter() {
        return group.get().voters().contains(instance);
    }

    /** Records who has been heard from; starts the next change of voters if this one leads. */
    void maintainVoters() {
        final long nowNanos = clock.nanoTime();
        maintenance.observe(nowNanos);
        group.get()
                .contactNanos()
                .forEach((other, atNanos) -> maintenance.contacted(other, atNanos, nowNanos));
        if (!changingVoters && hasHeardAnswers(nowNanos)) {
            maintenance
                    .next(instance, group.get().voters(), group.get().foreignVoters())
                    .ifPresent(this::changeVoters);
        }
    }

    /** Returns whether this instance leads, for so long that voters that live have answered it. */
    private boolean hasHeardAnswers(long nowNanos) {
        return leads() && nowNanos - group.get().leaderSinceNanos() >= ANSWER_NANOS;
    }

    private void changeVoters(VoterMaintenance.Step step) {
        changingVoters = true;
        EventLine.of("voter-change-started")
                .with("add", step.add())
                .with("instance", step.instance())
                .with("silent_ms", maintenance.silentMillis(step.instance()))
                .info();
        final CompletableFuture<Void> change =
                step.add()
                        ? group.get().addVoter(step.instance())
                        : group.get().removeVoter(step.instance());
        change.whenComplete(
                (ignored, failure) ->
                        loop.execute(
                                () -> {
                                    changeEnded(step, failure == null);
                                    EventLine.of("voter-change")
                                            .with("add", step.add())
                                            .with("instance", step.instance())
                                            .with(
                                                    "outcome",
                                                    failure == null ? "done" : failure.getMessage())
                                            .info();
                                }));
    }

    /** Takes the next step soon, since the group bears no loss in the middle of a replacement. */
    private void changeEnded(VoterMaintenance.Step step, boolean done) {
        changingVoters = false;
        if (done) {
            if (!step.add() && removals.containsKey(step.instance())) {
                removals.remove(step.instance()).complete(null);
            }
            loop.schedule(this::maintainVoters, POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
