package org.crocushaven.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.crocushaven.fleet.BackendStart;
import org.crocushaven.fleet.BrokenStart;

/**
 * Remembers broken requests and ended backend servers for the reports to the leader. A new leader
 * is told of all that are remembered. Bounded; not thread-safe.
 */
final class CrashReports {
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Entries that are remembered of each kind; the oldest go. */
    private static final int CAPACITY = 512;

    private final Deque<Numbered<Broken>> broken = new ArrayDeque<>();
    private final Deque<Numbered<BackendStart>> ended = new ArrayDeque<>();
    private final Deque<Numbered<BackendStart>> reached = new ArrayDeque<>();
    private long nextNumber = 1;

    /** Number of the last entry that the leader knows. */
    private long acknowledged;

    /** Number of the last entry in the last report. */
    private long reported;

    private long epoch;

    /** Remembers a request whose connection ended before its answer had gone on. */
    void addBroken(
            BackendStart start, long request, String model, List<Long> traits, long nowNanos) {
        add(broken, new Broken(start, request, model, traits), nowNanos);
    }

    /** Remembers that a start of a backend server has ended. */
    void addEnded(BackendStart start, long nowNanos) {
        add(ended, start, nowNanos);
    }

    /** Remembers that a start of a backend server whose end was doubted took a connection. */
    void addReached(BackendStart start, long nowNanos) {
        add(reached, start, nowNanos);
    }

    private <T> void add(Deque<Numbered<T>> entries, T entry, long nowNanos) {
        entries.addLast(new Numbered<>(nextNumber, entry, nowNanos));
        nextNumber++;
        if (entries.size() > CAPACITY) {
            entries.removeFirst();
        }
    }

    /** Returns the broken requests that the leader does not know yet; call before the next. */
    List<BrokenStart> unreportedBroken(long nowNanos) {
        reported = nextNumber - 1;
        return unreported(broken, entry -> entry.value().at(nowNanos - entry.nanos()), nowNanos);
    }

    /** Returns the ended starts that the leader does not know yet. */
    List<BackendStart> unreportedEnded(long nowNanos) {
        return unreported(ended, Numbered::value, nowNanos);
    }

    /** Returns the reached starts that the leader does not know yet. */
    List<BackendStart> unreportedReached(long nowNanos) {
        return unreported(reached, Numbered::value, nowNanos);
    }

    private <T, R> List<R> unreported(
            Deque<Numbered<T>> entries, Function<Numbered<T>, R> form, long nowNanos) {
        entries.removeIf(entry -> nowNanos - entry.nanos() > RETENTION_NANOS);
        return entries.stream().filter(entry -> entry.number() > acknowledged).map(form).toList();
    }

    /** Records that a leader has received the last report. A new one knows nothing of before. */
    void reportAnswered(long leaderEpoch) {
        acknowledged = leaderEpoch == epoch ? reported : 0;
        epoch = leaderEpoch;
    }

    private record Numbered<T>(long number, T value, long nanos) {}

    private record Broken(BackendStart start, long request, String model, List<Long> traits) {
        private BrokenStart at(long ageNanos) {
            return new BrokenStart(
                    start, request, model, traits, TimeUnit.NANOSECONDS.toMillis(ageNanos));
        }
    }
}
