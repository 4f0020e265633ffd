package org.crocushaven.placement;

import java.util.Collection;
import java.util.Optional;
import org.crocushaven.configuration.AdapterVersion;

/** Chooses the adapter version to evict from one backend server. Not thread-safe. */
public interface EvictionPolicy {
    /** Records a request for a version. */
    void recordUse(AdapterVersion version, long nowNanos);

    /** Records that a version was loaded and how long that took. */
    void recordLoad(AdapterVersion version, long loadNanos, long nowNanos);

    /** Records that a version was evicted. */
    void recordEviction(AdapterVersion version, long nowNanos);

    /** Returns the candidate to evict; empty if there is no candidate. */
    Optional<AdapterVersion> chooseVersionToEvict(
            Collection<AdapterVersion> candidates, long nowNanos);
}
