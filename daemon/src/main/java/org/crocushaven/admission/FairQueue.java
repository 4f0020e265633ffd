package org.crocushaven.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A bounded queue that serves organisations fairly in proportion to their weights.
 *
 * <p>Uses start-time fair queueing: each organisation has a virtual time that advances by tokens
 * divided by weight whenever one of its entries is served; the organisation with the lowest virtual
 * time is served next. Within an organisation the order is by urgency, then arrival. When the queue
 * is full, the last entry of the organisation with the most queued tokens per weight is dropped.
 * Not thread-safe.
 */
public final class FairQueue<T> {
    private final int maximumEntries;
    private final Map<String, Flow<T>> flows = new TreeMap<>();
    private final Map<String, OrderedEntry<T>> byIdentifier = new HashMap<>();
    private double virtualTime;
    private long arrivals;

    private FairQueue(int maximumEntries) {
        this.maximumEntries = maximumEntries;
    }

    /** Returns an empty queue that holds up to the given number of entries. */
    public static <T> FairQueue<T> create(int maximumEntries) {
        if (maximumEntries < 1) {
            throw new IllegalArgumentException("maximumEntries must be positive");
        }
        return new FairQueue<>(maximumEntries);
    }

    /**
     * Adds an entry and returns the entries dropped because the queue is full, possibly the new
     * one.
     */
    public List<QueueEntry<T>> offer(QueueEntry<T> entry) {
        if (byIdentifier.containsKey(entry.identifier())) {
            return List.of();
        }
        final Flow<T> flow = flows.computeIfAbsent(entry.organisation(), name -> new Flow<>());
        if (flow.orderedEntries.isEmpty()) {
            flow.virtualTime = Math.max(flow.virtualTime, virtualTime);
        }
        final OrderedEntry<T> ordered = new OrderedEntry<>(entry, arrivals++);
        flow.add(ordered);
        byIdentifier.put(entry.identifier(), ordered);
        return byIdentifier.size() > maximumEntries ? List.of(dropFromLargestFlow()) : List.of();
    }

    /** Removes an entry. */
    public Optional<QueueEntry<T>> remove(String identifier) {
        final OrderedEntry<T> ordered = byIdentifier.remove(identifier);
        if (ordered == null) {
            return Optional.empty();
        }
        flows.get(ordered.entry().organisation()).remove(ordered);
        return Optional.of(ordered.entry());
    }

    /** Removes and returns the entries whose deadline has passed. */
    public List<QueueEntry<T>> expire(long nowNanos) {
        return removeIf(entry -> nowNanos - entry.deadlineNanos() >= 0);
    }

    /** Removes and returns the entries that satisfy the condition, in order of arrival. */
    public List<QueueEntry<T>> removeIf(Predicate<QueueEntry<T>> condition) {
        final List<QueueEntry<T>> removed = new ArrayList<>();
        final Iterator<OrderedEntry<T>> orderedEntries = byIdentifier.values().iterator();
        while (orderedEntries.hasNext()) {
            final OrderedEntry<T> ordered = orderedEntries.next();
            if (condition.test(ordered.entry())) {
                orderedEntries.remove();
                flows.get(ordered.entry().organisation()).remove(ordered);
                removed.add(ordered.entry());
            }
        }
        removed.sort(
                Comparator.comparingLong((QueueEntry<T> entry) -> entry.arrivalNanos())
                        .thenComparing(QueueEntry::identifier));
        return removed;
    }

    /** Removes and returns the next eligible entry in fair order. */
    public Optional<QueueEntry<T>> poll(Predicate<QueueEntry<T>> eligible) {
        final Optional<QueueEntry<T>> next = peek(eligible);
        next.ifPresent(this::removeServed);
        return next;
    }

    /** Returns the next eligible entry in fair order. */
    public Optional<QueueEntry<T>> peek(Predicate<QueueEntry<T>> eligible) {
        Flow<T> best = null;
        QueueEntry<T> next = null;
        for (final Flow<T> flow : flows.values()) {
            if (flow.orderedEntries.isEmpty()
                    || (best != null && flow.virtualTime >= best.virtualTime)) {
                continue;
            }
            final Optional<QueueEntry<T>> first = flow.first(eligible);
            if (first.isPresent()) {
                best = flow;
                next = first.get();
            }
        }
        return Optional.ofNullable(next);
    }

    /** Removes an entry as served and advances its organisation's virtual time. */
    public void removeServed(QueueEntry<T> entry) {
        if (remove(entry.identifier()).isEmpty()) {
            return;
        }
        final Flow<T> flow = flows.get(entry.organisation());
        virtualTime = Math.max(virtualTime, flow.virtualTime);
        flow.virtualTime += (double) Math.max(1, entry.tokens()) / entry.weight();
    }

    /** Returns the entries in no particular order. */
    public Collection<QueueEntry<T>> entries() {
        return byIdentifier.values().stream().map(OrderedEntry::entry).toList();
    }

    /** Returns whether an entry is queued. */
    public boolean contains(String identifier) {
        return byIdentifier.containsKey(identifier);
    }

    /** Returns how many entries are queued. */
    public int size() {
        return byIdentifier.size();
    }

    /** Returns how many entries of an organisation are queued. */
    public int size(String organisation) {
        final Flow<T> flow = flows.get(organisation);
        return flow == null ? 0 : flow.orderedEntries.size();
    }

    /** Returns how many organisations have queued entries. */
    public int organisationCount() {
        return (int) flows.values().stream().filter(flow -> !flow.orderedEntries.isEmpty()).count();
    }

    private QueueEntry<T> dropFromLargestFlow() {
        Flow<T> largest = null;
        for (final Flow<T> flow : flows.values()) {
            if (largest == null || flow.queuedTokensPerWeight > largest.queuedTokensPerWeight) {
                largest = flow;
            }
        }
        final OrderedEntry<T> last = largest.orderedEntries.last();
        largest.remove(last);
        byIdentifier.remove(last.entry().identifier());
        return last.entry();
    }

    private record OrderedEntry<T>(QueueEntry<T> entry, long sequence) {}

    private static final class Flow<T> {
        private final TreeSet<OrderedEntry<T>> orderedEntries =
                new TreeSet<>(
                        Comparator.comparingInt((OrderedEntry<T> one) -> one.entry().urgency())
                                .thenComparingLong(OrderedEntry::sequence));
        private double virtualTime;
        private double queuedTokensPerWeight;

        private void add(OrderedEntry<T> ordered) {
            orderedEntries.add(ordered);
            queuedTokensPerWeight += tokensPerWeight(ordered);
        }

        private void remove(OrderedEntry<T> ordered) {
            orderedEntries.remove(ordered);
            queuedTokensPerWeight =
                    orderedEntries.isEmpty() ? 0 : queuedTokensPerWeight - tokensPerWeight(ordered);
        }

        private Optional<QueueEntry<T>> first(Predicate<QueueEntry<T>> eligible) {
            for (final OrderedEntry<T> ordered : orderedEntries) {
                if (eligible.test(ordered.entry())) {
                    return Optional.of(ordered.entry());
                }
            }
            return Optional.empty();
        }

        private static <T> double tokensPerWeight(OrderedEntry<T> ordered) {
            return (double) Math.max(1, ordered.entry().tokens()) / ordered.entry().weight();
        }
    }
}
