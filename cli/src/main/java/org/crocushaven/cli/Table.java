package org.crocushaven.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Formats rows of text under headings; each column is as wide as its longest cell. */
final class Table {
    private static final String SEPARATOR = "  ";
    private static final String EMPTY_CELL = "-";

    private final List<List<String>> rows = new ArrayList<>();

    private Table(List<String> headings) {
        rows.add(headings);
    }

    static Table of(String... headings) {
        return new Table(List.of(headings));
    }

    /** Adds a row; an empty cell is shown as a hyphen. */
    Table row(Object... cells) {
        rows.add(
                Arrays.stream(cells)
                        .map(String::valueOf)
                        .map(text -> text.isEmpty() ? EMPTY_CELL : text)
                        .toList());
        return this;
    }

    /** Returns the formatted lines, each followed by a line feed. */
    String format() {
        return rows.stream()
                .map(row -> line(row).stripTrailing() + "\n")
                .collect(Collectors.joining());
    }

    private String line(List<String> row) {
        final StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            final String text = row.get(column);
            line.append(text).append(" ".repeat(width(column) - text.length())).append(SEPARATOR);
        }
        return line.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
