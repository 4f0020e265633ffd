package org.crocushaven.configuration;

import java.util.List;
import java.util.regex.Pattern;

/** Defines the patterns and limits of the values in a publication. */
public final class PublicationRules {
    /**
     * Pattern of the names of instances, failure domains, backend servers, services, organisations,
     * adapters, adapter versions, publishers and operators.
     */
    public static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,63}");

    /** What {@link #NAME} allows, in words. */
    public static final String NAME_ALLOWED =
            "1 to 64 of a-z, 0-9, dot, underscore and hyphen, the first a letter or digit";

    /** Pattern of the prefixes of adapter series, to which five digits are appended. */
    public static final Pattern SERIES_PREFIX = Pattern.compile("[a-z0-9][a-z0-9._-]{0,58}");

    /** What {@link #SERIES_PREFIX} allows, in words. */
    public static final String SERIES_PREFIX_ALLOWED =
            "1 to 59 of a-z, 0-9, dot, underscore and hyphen, the first a letter or digit";

    /** Pattern of the names of base models. */
    public static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");

    /** What {@link #MODEL} allows, in words. */
    public static final String MODEL_ALLOWED =
            "1 to 128 of letters, digits, dot, underscore, slash and hyphen";

    /** Pattern of the paths of routes. */
    public static final Pattern PATH = Pattern.compile("(?=/)(/[A-Za-z0-9._~-]+)*(/\\*|/)?");

    /** What {@link #PATH} allows, in words. */
    public static final String PATH_ALLOWED =
            "segments of letters, digits, dot, underscore, tilde and hyphen, each after a slash; "
                    + "a last segment * matches every longer path";

    /** HTTP methods that a route may have. */
    public static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "DELETE");

    public static final long MINIMUM_ROUTE_TIMEOUT_MILLIS = 10;
    public static final long MAXIMUM_ROUTE_TIMEOUT_MILLIS = 600_000;
    public static final long MAXIMUM_TOKENS = 1_000_000_000_000L;
    public static final int MAXIMUM_WEIGHT = 1_000;
    public static final int MAXIMUM_LABEL_LENGTH = 200;
    public static final int MAXIMUM_ADAPTERS = 1_000_000;

    private PublicationRules() {}
}
