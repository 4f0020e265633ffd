package org.crocushaven.placement;

import java.util.Comparator;
import org.crocushaven.admission.LoadPriority;
import org.crocushaven.configuration.AdapterVersion;

/**
 * The queued requests for a version that is not loaded.
 *
 * @param version the version
 * @param organisation the organisation of the oldest request
 * @param weight the organisation's weight
 * @param priority highest priority among the requests
 * @param waiting number of queued requests
 * @param oldestNanos arrival time of the oldest request
 */
record LoadDemand(
        AdapterVersion version,
        String organisation,
        int weight,
        LoadPriority priority,
        int waiting,
        long oldestNanos) {
    static final Comparator<LoadDemand> ORDER =
            Comparator.comparing(LoadDemand::priority)
                    .thenComparingLong(LoadDemand::oldestNanos)
                    .thenComparing(LoadDemand::version);

    /** Returns the demand of one queued request, which must be for a version. */
    static LoadDemand of(PermitRequest request) {
        return new LoadDemand(
                request.version().orElseThrow(),
                request.organisation(),
                Math.max(1, request.weight()),
                request.isInteractive() ? LoadPriority.INTERACTIVE : LoadPriority.BATCH,
                1,
                request.arrivalNanos());
    }

    /** Returns the demand of all requests of both demands, which are for the same version. */
    static LoadDemand merge(LoadDemand one, LoadDemand other) {
        final LoadDemand older = one.oldestNanos() <= other.oldestNanos() ? one : other;
        return new LoadDemand(
                one.version(),
                older.organisation(),
                older.weight(),
                one.priority().compareTo(other.priority()) <= 0 ? one.priority() : other.priority(),
                one.waiting() + other.waiting(),
                older.oldestNanos());
    }

    /** Returns the demand for a version without queued requests. */
    static LoadDemand withoutRequests(
            AdapterVersion version, LoadPriority priority, long nowNanos) {
        return new LoadDemand(version, "", 1, priority, 0, nowNanos);
    }
}
