package org.crocushaven.observability;

import org.tinylog.Logger;

/**
 * Builds a log line of key=value pairs in the order in which they are added.
 *
 * <p>Values that are empty or contain blanks, quotation marks, equals signs, backslashes, control
 * characters or Unicode line separators are quoted, so that a line can be parsed and a value cannot
 * forge another pair or line.
 */
public final class EventLine {
    private static final int INITIAL_LENGTH = 160;
    private static final int LAST_CONTROL_CHARACTER = 0x1F;
    private static final int DELETE = 0x7F;

    private final StringBuilder text = new StringBuilder(INITIAL_LENGTH);

    private EventLine() {}

    /** Returns a line that begins with the name of the event. */
    public static EventLine of(String event) {
        return new EventLine().with("event", event);
    }

    /**
     * Returns a line about an unexpected exception. It contains the exception's class and its top
     * stack frame, but not its message, which can contain data sent by callers.
     */
    public static EventLine fault(Throwable fault) {
        final StackTraceElement[] trace = fault.getStackTrace();
        return of("fault")
                .with("class", fault.getClass().getName())
                .with("at", trace.length == 0 ? "-" : trace[0].toString());
    }

    /** Appends a pair, with the value quoted where necessary. */
    public EventLine with(String key, Object value) {
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(key).append('=');
        append(String.valueOf(value));
        return this;
    }

    /** Logs the line at level INFO, for ordinary events. */
    public void info() {
        Logger.info((Object) text);
    }

    /** Logs the line at level WARN, for events that operators should see. */
    public void warn() {
        Logger.warn((Object) text);
    }

    /** Logs the line at level ERROR, for unexpected exceptions. */
    public void error() {
        Logger.error((Object) text);
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private void append(String value) {
        if (isPlain(value)) {
            text.append(value);
            return;
        }
        text.append('"');
        for (int position = 0; position < value.length(); position++) {
            appendQuoted(value.charAt(position));
        }
        text.append('"');
    }

    private void appendQuoted(char character) {
        switch (character) {
            case '"', '\\' -> text.append('\\').append(character);
            case '\n' -> text.append("\\n");
            case '\r' -> text.append("\\r");
            default -> {
                if (isControl(character)) {
                    text.append(String.format("\\u%04x", (int) character));
                } else {
                    text.append(character);
                }
            }
        }
    }

    private static boolean isPlain(String value) {
        for (int position = 0; position < value.length(); position++) {
            final char character = value.charAt(position);
            if (character == ' '
                    || character == '"'
                    || character == '='
                    || character == '\\'
                    || isControl(character)) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static boolean isControl(char character) {
        return character <= LAST_CONTROL_CHARACTER
                || character == DELETE
                || Character.getType(character) == Character.LINE_SEPARATOR
                || Character.getType(character) == Character.PARAGRAPH_SEPARATOR
                || Character.getType(character) == Character.CONTROL;
    }
}
