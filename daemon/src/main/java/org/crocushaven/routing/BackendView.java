package org.crocushaven.routing;

import java.util.HashSet;
import java.util.Set;
import org.crocushaven.configuration.AdapterVersion;
import org.crocushaven.placement.BackendSummary;

/** An instance's view of one backend server. Not thread-safe. */
public final class BackendView {
    private final String name;
    private final String service;
    private final String failureDomain;
    private BackendSummary summary;
    private Set<AdapterVersion> loading = Set.of();
    private String dispatcher = "";
    private boolean reachable = true;
    private double weight = 1;
    private int sentSinceSummary;

    BackendView(BackendSummary summary) {
        this.name = summary.name();
        this.service = summary.service();
        this.failureDomain = summary.failureDomain();
        applySummary(summary);
    }

    /** Returns the name of the backend server. */
    public String name() {
        return name;
    }

    /** Returns the service to which it belongs. */
    public String service() {
        return service;
    }

    /** Returns its failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the last summary. */
    public BackendSummary summary() {
        return summary;
    }

    /** Returns the instance that dispatches for it; empty if none is known. */
    public String dispatcher() {
        return dispatcher;
    }

    /** Returns whether requests can be sent to it. */
    public boolean isUsable() {
        return reachable && weight > 0 && !dispatcher.isEmpty() && !summary.draining();
    }

    /**
     * Returns the number of queued and running requests, including those sent since the last
     * summary, divided by the weight.
     */
    public double load() {
        final int pending = summary.queueLength() + summary.running() + sentSinceSummary;
        return pending / weight;
    }

    /**
     * Returns the number of queued requests, including those sent since the last summary, minus the
     * free request slots; negative if slots are left.
     */
    public int excess() {
        return summary.queueLength() + sentSinceSummary - summary.freeSlots();
    }

    /** Returns how many requests it can run concurrently. */
    public int requestSlots() {
        return summary.freeSlots() + summary.running();
    }

    boolean isLoading(AdapterVersion version) {
        return loading.contains(version);
    }

    void applySummary(BackendSummary newer) {
        summary = newer;
        loading = new HashSet<>(newer.loading());
        sentSinceSummary = 0;
    }

    void assignDispatcher(String instance) {
        dispatcher = instance;
    }

    void setReachable(boolean value) {
        reachable = value;
    }

    void setWeight(double value) {
        weight = value;
    }

    void recordSent() {
        sentSinceSummary++;
    }
}
