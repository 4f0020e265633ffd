package org.crocushaven.configuration.check;

import java.util.Comparator;

/**
 * An error found in a file.
 *
 * @param file name of the file as given
 * @param line line in the file, counted from 1
 * @param key key with the indexes of array elements; empty when the violation concerns the whole
 *     file
 * @param text what is wrong and what is allowed
 */
public record Violation(String file, int line, String key, String text)
        implements Comparable<Violation> {
    private static final Comparator<Violation> ORDER =
            Comparator.comparing(Violation::file)
                    .thenComparingInt(Violation::line)
                    .thenComparing(Violation::key)
                    .thenComparing(Violation::text);

    @Override
    public int compareTo(Violation other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        final String subject = key.isEmpty() ? "" : key + ": ";
        return file + ":" + line + ": " + subject + text;
    }
}
