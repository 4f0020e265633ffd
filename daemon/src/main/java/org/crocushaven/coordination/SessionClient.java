package org.crocushaven.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;
import org.crocushaven.membership.MembershipView;
import org.crocushaven.observability.GuardedTask;
import org.crocushaven.protocol.Message;
import org.crocushaven.protocol.PeerTransport;

/**
 * Maintains this instance's session with the leader of group 0.
 *
 * <p>The lease is counted from the time when the heartbeat is sent, so that it ends here before it
 * expires on the leader. When it ends, all dispatcher leases are lost, and the next session starts
 * without any. Lock rank 25 guards the lease and the pending share request; no other component is
 * called under it.
 */
public final class SessionClient {
    private static final int CONFIGURATION_GROUP = 0;
    private static final long MINIMUM_SHARE_REQUEST_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(40);

    private final MembershipView membership;
    private final PeerTransport transport;
    private final GroupLeaders leaders;
    private final ConfigurationReplica configuration;
    private final SessionState state;
    private final LongConsumer confirmationListener;
    private final SessionSettings settings;
    private final NanoClock clock;
    private final Object lock = new Object();
    private boolean valid;
    private long validUntilNanos;
    private CompletableFuture<Void> pendingShareRequest = CompletableFuture.completedFuture(null);
    private long lastShareRequestNanos;
    private volatile boolean leaving;
    private ScheduledExecutorService executor;
    private ScheduledFuture<?> timer;

    private SessionClient(
            MembershipView membership,
            PeerTransport transport,
            GroupLeaders leaders,
            ConfigurationReplica configuration,
            SessionState state,
            LongConsumer confirmationListener,
            SessionSettings settings,
            NanoClock clock) {
        this.membership = membership;
        this.transport = transport;
        this.leaders = leaders;
        this.configuration = configuration;
        this.state = state;
        this.confirmationListener = confirmationListener;
        this.settings = settings;
        this.clock = clock;
        this.lastShareRequestNanos = clock.nanoTime() - MINIMUM_SHARE_REQUEST_INTERVAL_NANOS;
    }

    /**
     * Returns a client without a session.
     *
     * @param confirmationListener receives the sending time of a heartbeat, in nanoseconds, once
     *     the configuration is applied up to the index that the leader had committed when it
     *     answered
     */
    public static SessionClient create(
            MembershipView membership,
            PeerTransport transport,
            GroupLeaders leaders,
            ConfigurationReplica configuration,
            SessionState state,
            LongConsumer confirmationListener,
            SessionSettings settings,
            NanoClock clock) {
        return new SessionClient(
                membership,
                transport,
                leaders,
                configuration,
                state,
                confirmationListener,
                settings,
                clock);
    }

    /** Starts the heartbeats. */
    public void start(ScheduledExecutorService timers) {
        executor = timers;
        timer =
                timers.scheduleAtFixedRate(
                        GuardedTask.of(this::tick),
                        0,
                        settings.heartbeatMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /** Returns whether the session lease is currently valid. */
    public boolean isValid() {
        synchronized (lock) {
            return valid && clock.nanoTime() - validUntilNanos < 0;
        }
    }

    /**
     * Sends a heartbeat at once. Completes when its answer has been handled, also when the
     * heartbeat failed or no leader is known.
     */
    public CompletableFuture<Void> heartbeatNow() {
        final Optional<String> target = leaders.nextTarget(CONFIGURATION_GROUP);
        if (target.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        final long sentNanos = clock.nanoTime();
        return transport
                .request(
                        target.get(),
                        createHeartbeat(),
                        Duration.ofMillis(settings.answerTimeoutMillis()))
                .handle(
                        (answer, failure) -> {
                            handleAnswer(target.get(), sentNanos, answer);
                            return null;
                        });
    }

    /**
     * Sends a heartbeat for requests that wait for tokens; completes like {@link #heartbeatNow}.
     *
     * <p>Concurrent callers share one pending heartbeat, and consecutive ones are spaced by a
     * minimum interval, so that refused requests cannot flood the leader.
     */
    public CompletableFuture<Void> requestShares() {
        final CompletableFuture<Void> shareRequest;
        final long delayNanos;
        synchronized (lock) {
            final long nowNanos = clock.nanoTime();
            if (!pendingShareRequest.isDone()) {
                return pendingShareRequest;
            }
            delayNanos =
                    Math.max(
                            0,
                            lastShareRequestNanos
                                    + MINIMUM_SHARE_REQUEST_INTERVAL_NANOS
                                    - nowNanos);
            lastShareRequestNanos = nowNanos + delayNanos;
            pendingShareRequest = new CompletableFuture<>();
            shareRequest = pendingShareRequest;
        }
        executor.schedule(
                () -> heartbeatNow().whenComplete((done, failure) -> shareRequest.complete(null)),
                delayNanos,
                TimeUnit.NANOSECONDS);
        return shareRequest;
    }

    /**
     * Returns all dispatcher leases and sends the leader a heartbeat that says so; completes like
     * {@link #heartbeatNow}.
     */
    public CompletableFuture<Void> leave() {
        leaving = true;
        state.sessionLost();
        return heartbeatNow();
    }

    /** Stops the heartbeats. */
    public void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void tick() {
        final boolean lost;
        synchronized (lock) {
            lost = valid && clock.nanoTime() - validUntilNanos >= 0;
            valid &= !lost;
        }
        if (lost) {
            state.sessionLost();
        }
        heartbeatNow();
    }

    private SessionHeartbeat createHeartbeat() {
        return new SessionHeartbeat(
                membership.self().name(),
                membership.self().failureDomain(),
                membership.self().incarnation(),
                state.fleetRevision(),
                leaving,
                state.announcedServers(),
                isValid() ? state.heldLeases() : List.of(),
                state.shareReport());
    }

    private void handleAnswer(String target, long sentNanos, Message message) {
        if (message instanceof SessionAnswer answer) {
            leaders.recordLeader(CONFIGURATION_GROUP, target);
            applyAnswer(target, sentNanos, answer);
        } else if (message instanceof LeaderHint hint) {
            leaders.recordNotLeader(CONFIGURATION_GROUP, target, hint.leader());
        } else {
            leaders.recordNotLeader(CONFIGURATION_GROUP, target, "");
        }
    }

    private void applyAnswer(String leader, long sentNanos, SessionAnswer answer) {
        final long leaseEndNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(answer.leaseMillis());
        synchronized (lock) {
            if (clock.nanoTime() - leaseEndNanos >= 0) {
                return;
            }
            validUntilNanos = valid ? Math.max(validUntilNanos, leaseEndNanos) : leaseEndNanos;
            valid = true;
        }
        state.applyShares(answer.shares());
        if (!leaving) {
            answer.fleet().ifPresent(state::applyFleet);
        }
        configuration.catchUp(
                leader, answer.configurationIndex(), () -> confirmationListener.accept(sentNanos));
    }
}
