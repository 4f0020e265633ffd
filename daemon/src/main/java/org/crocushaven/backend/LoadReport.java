package org.crocushaven.backend;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.crocushaven.configuration.AdapterVersion;

/**
 * The state that a backend server reports with each heartbeat; it may be outdated on arrival.
 *
 * @param incarnation incarnation of the reporting backend server
 * @param sequence number that increases with each report of an incarnation
 * @param running number of requests being served
 * @param waiting number of requests queued inside the backend server
 * @param loaded adapter versions that are loaded
 * @param busy adapter versions with at least one running request
 * @param draining whether the backend server accepts no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadReport(
        long incarnation,
        long sequence,
        int running,
        int waiting,
        List<AdapterVersion> loaded,
        List<AdapterVersion> busy,
        boolean draining) {
    public LoadReport {
        loaded = List.copyOf(loaded);
        busy = List.copyOf(busy);
    }
}
