package org.crocushaven.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.BackendSummary;
import org.crocushaven.placement.BackendSummaryDelta;

/**
 * An instance's view of all backend servers, indexed by service and by loaded version.
 *
 * <p>All entries are hints: a stale entry leads to a refused permit, never to a wrong answer. Not
 * thread-safe.
 */
public final class RoutingTable {
    private final Map<String, BackendView> views = new TreeMap<>();
    private final Map<String, List<BackendView>> byService = new HashMap<>();
    private final Map<AdapterVersion, List<BackendView>> byVersion = new HashMap<>();
    private final Map<String, HashRing> rings = new HashMap<>();

    private RoutingTable() {}

    /** Returns an empty table. */
    public static RoutingTable create() {
        return new RoutingTable();
    }

    /** Applies a summary unless it is not newer than the known one. */
    public void apply(BackendSummary summary) {
        final BackendView known = views.get(summary.name());
        if (known == null) {
            add(new BackendView(summary));
            return;
        }
        if (!summary.isNewerThan(known.summary())) {
            return;
        }
        replace(known, summary);
    }

    /** Applies a change; returns false if it does not apply and a full summary is needed first. */
    public boolean apply(BackendSummaryDelta delta) {
        final BackendView known = views.get(delta.name());
        if (known == null) {
            return false;
        }
        final Optional<BackendSummary> result = delta.applyTo(known.summary());
        result.ifPresent(summary -> replace(known, summary));
        return result.isPresent();
    }

    /** Removes a backend server that has left. */
    public void remove(String name) {
        final BackendView view = views.remove(name);
        if (view != null) {
            unindex(view);
            byService.get(view.service()).remove(view);
            rings.remove(view.service());
        }
    }

    /** Sets the instance that dispatches for a backend server; empty for none. */
    public void setDispatcher(String name, String instance) {
        final BackendView view = views.get(name);
        if (view != null) {
            view.assignDispatcher(instance);
        }
    }

    /** Sets whether a backend server is reachable. */
    public void setReachable(String name, boolean value) {
        final BackendView view = views.get(name);
        if (view != null) {
            view.setReachable(value);
        }
    }

    /** Sets the weight of a backend server: 0 when ejected, below 1 in slow start. */
    public void setWeight(String name, double weight) {
        final BackendView view = views.get(name);
        if (view != null) {
            view.setWeight(weight);
        }
    }

    /** Counts a request sent to a backend server's dispatcher since its last summary. */
    public void recordSent(String name) {
        final BackendView view = views.get(name);
        if (view != null) {
            view.recordSent();
        }
    }

    /** Returns the view of a backend server; empty if it is unknown. */
    public Optional<BackendView> view(String name) {
        return Optional.ofNullable(views.get(name));
    }

    /** Returns the backend servers of a service; the list must not be changed. */
    public List<BackendView> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the backend servers on which a version is loaded or being loaded; the list must not
     * be changed.
     */
    public List<BackendView> withVersion(AdapterVersion version) {
        return byVersion.getOrDefault(version, List.of());
    }

    /** Returns how many backend servers are known. */
    public int size() {
        return views.size();
    }

    HashRing ring(String service) {
        return rings.computeIfAbsent(service, name -> HashRing.of(ofService(name)));
    }

    private void add(BackendView view) {
        views.put(view.name(), view);
        byService.computeIfAbsent(view.service(), name -> new ArrayList<>()).add(view);
        rings.remove(view.service());
        index(view);
    }

    private void replace(BackendView view, BackendSummary summary) {
        if (view.summary().loaded().equals(summary.loaded())
                && view.summary().loading().equals(summary.loading())) {
            view.applySummary(summary);
            return;
        }
        unindex(view);
        view.applySummary(summary);
        index(view);
    }

    private void index(BackendView view) {
        for (final AdapterVersion version : view.summary().loaded()) {
            byVersion.computeIfAbsent(version, key -> new ArrayList<>(1)).add(view);
        }
        for (final AdapterVersion version : view.summary().loading()) {
            byVersion.computeIfAbsent(version, key -> new ArrayList<>(1)).add(view);
        }
    }

    private void unindex(BackendView view) {
        for (final AdapterVersion version : view.summary().loaded()) {
            unindex(view, version);
        }
        for (final AdapterVersion version : view.summary().loading()) {
            unindex(view, version);
        }
    }

    private void unindex(BackendView view, AdapterVersion version) {
        final List<BackendView> viewsWithVersion = byVersion.get(version);
        if (viewsWithVersion != null) {
            viewsWithVersion.remove(view);
            if (viewsWithVersion.isEmpty()) {
                byVersion.remove(version);
            }
        }
    }
}
