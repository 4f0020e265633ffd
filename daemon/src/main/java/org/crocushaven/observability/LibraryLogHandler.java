package org.crocushaven.observability;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Redirects messages that libraries log through {@code java.util.logging} to event lines. */
public final class LibraryLogHandler extends Handler {
    private LibraryLogHandler() {}

    /**
     * Replaces the handlers of all loggers by this one, for messages of level WARNING and above.
     */
    public static void install() {
        LogManager.getLogManager().reset();
        final Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryLogHandler());
    }

    @Override
    public void publish(LogRecord message) {
        EventLine.of("library-message")
                .with("logger", message.getLoggerName())
                .with("level", message.getLevel())
                .with("message", message.getMessage())
                .with(
                        "thrown",
                        message.getThrown() == null
                                ? "-"
                                : message.getThrown().getClass().getName())
                .warn();
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
