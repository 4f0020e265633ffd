package org.crocushaven.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.crocushaven.fleet.BackendRecord;

/**
 * Remembers the limits that backend servers named in their answers.
 *
 * <p>A limit holds until an answer to a request that was sent after it names none, or a later start
 * of the backend server is known. Not thread-safe.
 */
final class BackendLimits {
    /** Number of backend servers that are remembered; the earliest is forgotten first. */
    private static final int MAXIMUM_BACKENDS = 10_000;

    private final Map<String, Statement> statements =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Statement> eldest) {
                    return size() > MAXIMUM_BACKENDS;
                }
            };

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
        statements.put(answering.backend(), said);
        return known == null
                || !known.perSecond().equals(said.perSecond())
                || known.startedMillis() != said.startedMillis();
    }

    /**
     * What one start of a backend server said last.
     *
     * @param perSecond the limit, in requests a second; empty for none
     * @param saidNanos time from which on it holds: a limit from the answer that named it, none
     *     from the sending of the request whose answer named none
     */
    private record Statement(long startedMillis, OptionalDouble perSecond, long saidNanos) {
        private boolean follows(Statement other) {
            return startedMillis == other.startedMillis
                    ? saidNanos - other.saidNanos >= 0
                    : startedMillis > other.startedMillis;
        }
    }
}
