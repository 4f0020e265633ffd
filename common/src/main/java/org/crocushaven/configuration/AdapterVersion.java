package org.crocushaven.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifies one version of one adapter, written as {@code adapter@version}.
 *
 * @param adapter the adapter's name
 * @param version the version's name
 */
public record AdapterVersion(String adapter, String version) implements Comparable<AdapterVersion> {
    public AdapterVersion {
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the given version of the given adapter. */
    public static AdapterVersion of(String adapter, String version) {
        return new AdapterVersion(adapter, version);
    }

    /** Parses a text of the form {@code adapter@version}, which is split at its last at sign. */
    @JsonCreator
    public static AdapterVersion parse(String text) {
        final int separator = text.lastIndexOf('@');
        if (separator <= 0 || separator == text.length() - 1) {
            throw new IllegalArgumentException("not of the form adapter@version: " + text);
        }
        return new AdapterVersion(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public int compareTo(AdapterVersion other) {
        final int byAdapter = adapter.compareTo(other.adapter);
        return byAdapter != 0 ? byAdapter : version.compareTo(other.version);
    }

    @JsonValue
    @Override
    public String toString() {
        return adapter + "@" + version;
    }
}
