package org.crocushaven.operator;

/** Provides the metrics in the Prometheus text format. */
public interface MetricsSource {
    /** Returns the media type of {@link #scrape()}. */
    String mediaType();

    /** Returns the encoded metrics. */
    byte[] scrape();
}
