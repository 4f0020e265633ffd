package org.crocushaven.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One line that a process logged.
 *
 * @param source what stands before the line in a file that several processes share; empty for none
 * @param text the line itself
 * @param fields its key=value pairs, in order
 */
record LogLine(String source, String text, Map<String, String> fields) {
    private static final String FIRST_KEY = "time=";

    /** Reads a line; empty when no process of this system wrote it, or it was cut short. */
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

    /** Returns the value of a key, or empty text. */
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

    /** Returns the index behind a value, or -1 when its quotation is not closed. */
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
