package org.crocushaven.cli;

import java.util.List;

/** Formats values as the text of table cells. */
final class CellText {
    private static final int SHOWN_NAMES = 4;

    private CellText() {}

    static String yesOrEmpty(boolean value) {
        return value ? "yes" : "";
    }

    /** Returns the first few names, separated by commas, and the number of further names. */
    static String shortened(List<String> names) {
        if (names.size() <= SHOWN_NAMES) {
            return String.join(", ", names);
        }
        return String.join(", ", names.subList(0, SHOWN_NAMES))
                + " and "
                + (names.size() - SHOWN_NAMES)
                + " more";
    }
}
