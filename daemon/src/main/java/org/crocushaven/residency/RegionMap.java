package org.crocushaven.residency;

import java.util.Map;

/**
 * The region of each failure domain, as the settings of an instance name it.
 *
 * @param regionByDomain region by failure domain
 */
public record RegionMap(Map<String, String> regionByDomain) {
    /** Knows no region. */
    public static final RegionMap EMPTY = new RegionMap(Map.of());

    /** Stands for a region that is not known. */
    private static final String UNKNOWN = "";

    public RegionMap {
        regionByDomain = Map.copyOf(regionByDomain);
    }

    /** Returns the region of a failure domain; empty if it is not known. */
    public String regionOf(String failureDomain) {
        return regionByDomain.getOrDefault(failureDomain, UNKNOWN);
    }
}
