package org.crocushaven.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.settings.LoadBudgetSettings;

/**
 * Grants loads from the weight store within a rate and a bound on loads in flight.
 *
 * <p>Within a priority, loads are divided fairly between organisations by weight. Organisations
 * that recently took far more than their fair share are granted loads only from a full bucket, so
 * that the others find a token when they need one.
 *
 * <p>A new leader's budget starts without tokens and uses half of the bound on loads in flight, so
 * that the loads which an earlier leader granted fit into the other half. Not thread-safe.
 */
public final class LoadBudget {
    private static final int MAXIMUM_WAITING = 20_000;
    private static final int UNIFORM_URGENCY = 0;
    private static final double FULL_TOLERANCE_TOKENS = 0.01;

    private final int maximumGranted;
    private final long grantLifetimeNanos;
    private final TokenBucket bucket;
    private final Map<LoadPriority, FairQueue<LoadKey>> queues = new EnumMap<>(LoadPriority.class);
    private final LoadUsage usage = new LoadUsage();
    private final Map<LoadKey, Granted> granted = new HashMap<>();

    private LoadBudget(LoadBudgetSettings settings, long grantLifetimeNanos, long nowNanos) {
        this.maximumGranted = Math.max(1, settings.maximumInFlight() / 2);
        this.grantLifetimeNanos = grantLifetimeNanos;
        this.bucket =
                TokenBucket.create(
                        settings.loadsPerSecond(),
                        Math.max(1, settings.fullSpeedLoads()),
                        0,
                        nowNanos);
        for (final LoadPriority priority : LoadPriority.values()) {
            queues.put(priority, FairQueue.create(MAXIMUM_WAITING));
        }
    }

    /**
     * Returns an empty budget.
     *
     * @param grantLifetimeNanos the longest time that a granted load can still be in flight when
     *     its end is never reported
     */
    public static LoadBudget create(
            LoadBudgetSettings settings, long grantLifetimeNanos, long nowNanos) {
        return new LoadBudget(settings, grantLifetimeNanos, nowNanos);
    }

    /**
     * Queues a request or changes its priority; if it was already granted, the grant is repeated.
     */
    public Optional<LoadGrant> request(String holder, LoadRequest request) {
        final LoadKey key = new LoadKey(holder, request.backendServer(), request.version());
        if (granted.containsKey(key)) {
            return Optional.of(key.grant());
        }
        final FairQueue<LoadKey> queue = queues.get(request.priority());
        if (!queue.contains(key.identifier())) {
            remove(key);
            queue.offer(entry(key, request));
        }
        return Optional.empty();
    }

    /** Removes a queued request that is no longer needed; a granted load is not affected. */
    public void withdraw(String holder, String backendServer, AdapterVersion version) {
        remove(new LoadKey(holder, backendServer, version));
    }

    /** Records that a granted load has ended or was never started. */
    public void release(String holder, String backendServer, AdapterVersion version) {
        withdraw(holder, backendServer, version);
        granted.remove(new LoadKey(holder, backendServer, version));
    }

    /** Records a load that an earlier leader granted and that is still in flight. */
    public void redeclare(
            String holder, String backendServer, AdapterVersion version, long nowNanos) {
        withdraw(holder, backendServer, version);
        granted.put(
                new LoadKey(holder, backendServer, version),
                new Granted(nowNanos + grantLifetimeNanos));
    }

    /** Removes the requests of a lost holder; its loads count until their lifetime has passed. */
    public void holderLost(String holder) {
        queues.values()
                .forEach(queue -> queue.removeIf(entry -> entry.payload().holder().equals(holder)));
    }

    /** Returns the loads granted now, those with the highest priority first. */
    public List<LoadGrant> tick(long nowNanos) {
        granted.values().removeIf(entry -> nowNanos - entry.expiresNanos() >= 0);
        final List<LoadGrant> grants = new ArrayList<>();
        while (queued() > 0 && granted.size() < maximumGranted && bucket.level(nowNanos) >= 1) {
            final LoadKey next = nextWaiting(nowNanos);
            if (next == null) {
                break;
            }
            bucket.tryTake(1, nowNanos);
            granted.put(next, new Granted(nowNanos + grantLifetimeNanos));
            grants.add(next.grant());
        }
        return grants;
    }

    /** Returns how many granted loads have not ended. */
    public int inFlight() {
        return granted.size();
    }

    /** Returns how many requests are queued. */
    public int queued() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /**
     * Removes and returns the next request; skips organisations over their fair share unless the
     * bucket is full. Null if there is none.
     */
    private LoadKey nextWaiting(long nowNanos) {
        final boolean full = bucket.level(nowNanos) >= bucket.capacity() - FULL_TOLERANCE_TOKENS;
        for (final FairQueue<LoadKey> queue : queues.values()) {
            final Optional<QueueEntry<LoadKey>> next =
                    queue.poll(
                            entry ->
                                    full
                                            || !usage.exceedsFairShare(
                                                    entry.organisation(), nowNanos));
            if (next.isPresent()) {
                usage.recordGrant(next.get().organisation(), next.get().weight(), nowNanos);
                return next.get().payload();
            }
        }
        return null;
    }

    private void remove(LoadKey key) {
        queues.values().forEach(queue -> queue.remove(key.identifier()));
    }

    private static QueueEntry<LoadKey> entry(LoadKey key, LoadRequest request) {
        return new QueueEntry<>(
                key.identifier(),
                request.organisation(),
                Math.max(1, request.weight()),
                1,
                UNIFORM_URGENCY,
                Long.MAX_VALUE,
                0,
                key);
    }

    private record LoadKey(String holder, String backendServer, AdapterVersion version) {
        String identifier() {
            return holder + ' ' + backendServer + ' ' + version;
        }

        LoadGrant grant() {
            return new LoadGrant(holder, backendServer, version);
        }
    }

    private record Granted(long expiresNanos) {}
}
