package org.crocushaven.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.crocushaven.admission.GrantedRequests;
import org.crocushaven.fleet.BackendRecord;
import org.crocushaven.fleet.LimitGrant;
import org.crocushaven.fleet.LimitStatement;
import org.crocushaven.fleet.LimitUse;

/**
 * Keeps a gateway's requests within the limits that backend servers named: to a backend server with
 * a limit goes only what the leader grants, and nothing while no leader is reached.
 *
 * <p>A limit holds until an answer to a request that was sent after it names none, whichever
 * gateway received it, or a later start of the backend server is known. Not thread-safe.
 */
final class BackendLimits {
    /** Number of backend servers that are remembered; the earliest is forgotten first. */
    private static final int MAXIMUM_BACKENDS = 10_000;

    /** Time for which the leader is told that a backend server names no limit any more. */
    private static final long ENDED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time until the leader's next regular grant. */
    private static final long NEXT_GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Map<String, Statement> statements =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Statement> eldest) {
                    return size() > MAXIMUM_BACKENDS;
                }
            };

    private final Map<String, GrantedRequests> granted = new HashMap<>();
    private final Map<String, Integer> wanted = new HashMap<>();

    /**
     * Records what an answer says.
     *
     * @param answering the backend server at the start to which the answered request was sent
     * @param sentNanos time at which the request was sent
     * @return whether this changes what is known
     */
    boolean recordAnswer(BackendRecord answering, NamedLimit limit, long sentNanos, long nowNanos) {
        final Statement known = statements.get(answering.backend());
        if (!limit.readable() || known == null && limit.perSecond().isEmpty()) {
            return false;
        }
        final boolean named = limit.perSecond().isPresent();
        final Statement said =
                new Statement(
                        answering.startedMillis(), limit.perSecond(), named ? nowNanos : sentNanos);
        if (known != null && !said.follows(known)) {
            return false;
        }
        return put(answering.backend(), said);
    }

    /** Returns whether a request may be sent to a backend server as far as limits go. */
    boolean allows(BackendRecord backend, long nowNanos) {
        return !isLimited(backend) || grantedTo(backend.backend()).left(nowNanos) > 0;
    }

    /** Takes a request out of what is granted; returns whether it may be sent. */
    boolean tryTake(BackendRecord backend, long nowNanos) {
        if (!isLimited(backend)) {
            return true;
        }
        recordWanted(backend);
        return grantedTo(backend.backend()).tryTake(nowNanos);
    }

    /** Records that a request would be sent to a backend server if its limit allowed that. */
    void recordWanted(BackendRecord backend) {
        wanted.merge(backend.backend(), 1, Integer::sum);
    }

    /** Returns the time until a request may be sent to a backend server, as far as limits go. */
    long waitNanos(BackendRecord backend, long nowNanos) {
        if (allows(backend, nowNanos)) {
            return 0;
        }
        final double perSecond = statements.get(backend.backend()).perSecond().getAsDouble();
        return Math.max(
                NEXT_GRANT_NANOS,
                (long)
                        (TimeUnit.SECONDS.toNanos(1)
                                / Math.max(LimitStatement.LOWEST_RATE_PER_SECOND, perSecond)));
    }

    /** Returns what the leader is told next, and begins to count anew what is wanted. */
    List<LimitUse> report(long nowNanos) {
        statements
                .values()
                .removeIf(
                        said ->
                                said.perSecond().isEmpty()
                                        && nowNanos - said.saidNanos() >= ENDED_RETENTION_NANOS);
        final List<LimitUse> uses = new ArrayList<>(statements.size());
        statements.forEach(
                (backend, said) ->
                        uses.add(
                                new LimitUse(
                                        said.toMessage(backend, nowNanos),
                                        Math.max(
                                                0,
                                                wanted.getOrDefault(backend, 0)
                                                        - grantedTo(backend).left(nowNanos)))));
        wanted.clear();
        return uses;
    }

    /** Applies what the leader tells of limits and grants. */
    void apply(List<LimitGrant> grants, long nowNanos) {
        for (final LimitGrant grant : grants) {
            final String backend = grant.statement().backend();
            final Statement told = Statement.of(grant.statement(), nowNanos);
            final Statement known = statements.get(backend);
            if (known == null || !told.saysSameAs(known) && told.follows(known)) {
                put(backend, told);
            }
            if (grant.requests() > 0 && told.saysSameAs(statements.get(backend))) {
                grantedTo(backend).add(grant.requests(), nowNanos);
            }
        }
    }

    private boolean put(String backend, Statement said) {
        final Statement known = statements.put(backend, said);
        final boolean changed =
                known == null ? said.perSecond().isPresent() : !said.saysSameAs(known);
        if (changed) {
            granted.remove(backend);
        }
        return changed;
    }

    private boolean isLimited(BackendRecord backend) {
        final Statement said = statements.get(backend.backend());
        return said != null
                && said.perSecond().isPresent()
                && backend.startedMillis() <= said.startedMillis();
    }

    private GrantedRequests grantedTo(String backend) {
        return granted.computeIfAbsent(
                backend, name -> GrantedRequests.validForMillis(LimitGrant.VALID_MILLIS));
    }

    /**
     * What one start of a backend server said last.
     *
     * @param perSecond the limit, in requests a second; empty for none
     * @param saidNanos time from which on it holds: a limit from the answer that named it, none
     *     from the sending of the request whose answer named none
     */
    private record Statement(long startedMillis, OptionalDouble perSecond, long saidNanos) {
        private static Statement of(LimitStatement told, long nowNanos) {
            return new Statement(
                    told.startedMillis(),
                    told.isLimit() ? OptionalDouble.of(told.perSecond()) : OptionalDouble.empty(),
                    nowNanos - TimeUnit.MILLISECONDS.toNanos(told.ageMillis()));
        }

        private LimitStatement toMessage(String backend, long nowNanos) {
            return new LimitStatement(
                    backend,
                    startedMillis,
                    perSecond.orElse(LimitStatement.NO_LIMIT),
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - saidNanos)));
        }

        private boolean saysSameAs(Statement other) {
            return startedMillis == other.startedMillis && perSecond.equals(other.perSecond);
        }

        private boolean follows(Statement other) {
            return startedMillis == other.startedMillis
                    ? saidNanos - other.saidNanos >= 0
                    : startedMillis > other.startedMillis;
        }
    }
}
