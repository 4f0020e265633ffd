package org.crocushaven.configuration.servicefile;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Generates the names of a numbered series of adapters. */
final class AdapterSeries {
    /** Maximum number of adapters in one series. */
    static final int MAXIMUM_COUNT = 99_999;

    private static final String FORMAT = "%s%05d";

    private AdapterSeries() {}

    /** Returns the names, which are the prefix followed by 00001, 00002 and so on. */
    static List<String> names(String prefix, int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(number -> String.format(Locale.ROOT, FORMAT, prefix, number))
                .toList();
    }
}
