package org.crocushaven.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Represents one line from the log of a process.
 *
 * @param source last word before the line, which names the process in a file that several processes
 *     share; empty if there is none
 * @param text line without that prefix
 * @param fields key=value pairs of the line, in order
 */
record LogLine(String source, String text, Map<String, String> fields) {
    private static final String FIRST_KEY = "time=";

    /** Parses a line; returns empty when it is not a log line of this system or is truncated. */
    static Optional<LogLine> parse(String line) {
        final int start = line.indexOf(FIRST_KEY);
        if (start < 0) {
            return Optional.empty();
        }
        final String text = line.substring(start);
        return fieldsOf(text)
                .filter(fields -> fields.containsKey("event"))
                .map(fields -> new LogLine(lastWord(line.substring(0, start)), text, fields));
    }

    /** Returns the value of a key, or an empty string if the line does not contain it. */
    String field(String key) {
        return fields.getOrDefault(key, "");
    }

    private static Optional<Map<String, String>> fieldsOf(String text) {
        final Map<String, String> fields = new LinkedHashMap<>();
        int position = 0;
        while (position < text.length()) {
            final int equals = text.indexOf('=', position);
            if (equals < 0) {
                return Optional.empty();
            }
            final String key = text.substring(position, equals).trim();
            final int end = endOfValue(text, equals + 1);
            if (end < 0) {
                return Optional.empty();
            }
            fields.put(key, unquoted(text.substring(equals + 1, end)));
            position = end + 1;
        }
        return Optional.of(fields);
    }

    /** Returns the index after a value, or -1 if its closing quotation mark is missing. */
    private static int endOfValue(String text, int start) {
        if (start >= text.length() || text.charAt(start) != '"') {
            final int blank = text.indexOf(' ', start);
            return blank < 0 ? text.length() : blank;
        }
        for (int position = start + 1; position < text.length(); position++) {
            if (text.charAt(position) == '\\') {
                position++;
            } else if (text.charAt(position) == '"') {
                return position + 1;
            }
        }
        return -1;
    }

    private static String unquoted(String value) {
        if (value.length() < 2 || value.charAt(0) != '"') {
            return value;
        }
        return value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    private static String lastWord(String prefix) {
        final String trimmed = prefix.trim();
        return trimmed.substring(trimmed.lastIndexOf(' ') + 1);
    }
}
