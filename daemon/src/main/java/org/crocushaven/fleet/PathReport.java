package org.crocushaven.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a gateway tells the leader of its paths to backend servers, and how others reach it.
 *
 * @param failureDomain failure domain in which the gateway runs
 * @param address where it takes requests, as {@code host:port}; empty if it takes none of others
 * @param unreachable services of which it reaches no backend server
 * @param wantsRelays whether it wants to know gateways that can take its requests over
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PathReport(
        String failureDomain, String address, List<String> unreachable, boolean wantsRelays) {
    /** Tells nothing; also stands for the report of software that does not know of paths. */
    public static final PathReport EMPTY = new PathReport("", "", List.of(), false);

    public PathReport {
        unreachable = List.copyOf(unreachable);
    }
}
