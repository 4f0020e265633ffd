package org.crocushaven.security;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.crocushaven.configuration.FleetConfiguration;
import org.crocushaven.configuration.KeyHash;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Tracks the requests in flight by key, so that the withdrawal of a key cancels them.
 *
 * <p>Thread-safe without locks. A request must be {@linkplain #add added} before the last check of
 * its key, so that no withdrawal is missed: one before the check makes the check fail, and a later
 * one finds the request here.
 */
public final class ActiveRequests {
    private final Map<KeyHash, Set<Entry>> entries = new ConcurrentHashMap<>();

    /**
     * Adds a request.
     *
     * @param cancel called at most once, with the reason, when the key is withdrawn
     * @return registration that removes the request when it is closed
     */
    public Registration add(KeyHash key, Consumer<ResultException> cancel) {
        final Entry entry = new Entry(key, cancel);
        entries.compute(
                key,
                (same, present) -> {
                    final Set<Entry> set =
                            present == null ? ConcurrentHashMap.newKeySet() : present;
                    set.add(entry);
                    return set;
                });
        return () -> remove(entry);
    }

    /** Cancels the requests whose keys are unknown or withdrawn in the given configuration. */
    public void cancelUngranted(FleetConfiguration configuration) {
        for (final KeyHash key : List.copyOf(entries.keySet())) {
            final boolean granted =
                    configuration.key(key).filter(grant -> !grant.withdrawn()).isPresent();
            if (!granted) {
                cancelKey(key, ResultException.of(ResultCode.KEY_WITHDRAWN_DURING_REQUEST));
            }
        }
    }

    /** Cancels all requests that have a key, with the given reason. */
    public void cancelAll(ResultException reason) {
        for (final KeyHash key : List.copyOf(entries.keySet())) {
            cancelKey(key, reason);
        }
    }

    /** Returns the number of requests in flight that have a key. */
    public int count() {
        return entries.values().stream().mapToInt(Set::size).sum();
    }

    private void cancelKey(KeyHash key, ResultException reason) {
        final Set<Entry> cancelled = entries.remove(key);
        if (cancelled != null) {
            for (final Entry entry : new ArrayList<>(cancelled)) {
                entry.cancel.accept(reason);
            }
        }
    }

    private void remove(Entry entry) {
        entries.computeIfPresent(
                entry.key,
                (same, present) -> {
                    present.remove(entry);
                    return present.isEmpty() ? null : present;
                });
    }

    /** Registration of an active request. */
    @FunctionalInterface
    public interface Registration extends AutoCloseable {
        @Override
        void close();
    }

    private static final class Entry {
        private final KeyHash key;
        private final Consumer<ResultException> cancel;

        Entry(KeyHash key, Consumer<ResultException> cancel) {
            this.key = key;
            this.cancel = cancel;
        }
    }
}
