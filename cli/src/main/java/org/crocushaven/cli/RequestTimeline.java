package org.crocushaven.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Contains the lines of saved logs that explain the outcome of a request.
 *
 * <p>These are the lines about the request itself and the lines in which the same processes logged
 * a change of their own state, such as the loss of the leader, from 5 seconds before the request's
 * first line to its last line.
 *
 * @param request identifier of the request
 * @param unreadable number of lines that are truncated or are no log lines of this system
 * @param entries the lines in order of time
 */
record RequestTimeline(String request, long unreadable, List<Entry> entries) {
    /** Events in which a process logs a change of its own state or of its view of the cluster. */
    private static final Set<String> STATE_EVENTS =
            Set.of(
                    "leader-lost",
                    "leader-found",
                    "ready",
                    "not-ready",
                    "configuration-applied",
                    "suspension-suspected",
                    "started",
                    "stopping");

    private static final Duration STATE_EVENT_WINDOW = Duration.ofSeconds(5);

    RequestTimeline {
        entries = List.copyOf(entries);
    }

    /**
     * Reads the timeline of a request from log files.
     *
     * @throws ResultException with {@code SETTINGS_UNREADABLE} when a file cannot be read, with
     *     {@code UNKNOWN_REQUEST} when no line names the request
     */
    static RequestTimeline read(List<Path> files, String request) {
        final List<Entry> requestEntries = new ArrayList<>();
        final List<Entry> stateEntries = new ArrayList<>();
        long unreadable = 0;
        for (final Path file : files) {
            for (final String line : linesOf(file)) {
                final Optional<LogLine> parsed = LogLine.parse(line);
                final Optional<Entry> entry = parsed.flatMap(Entry::of);
                if (entry.isEmpty()) {
                    unreadable += line.isBlank() ? 0 : 1;
                } else if (parsed.get().field("request").equals(request)) {
                    requestEntries.add(entry.get());
                } else if (STATE_EVENTS.contains(parsed.get().field("event"))) {
                    stateEntries.add(entry.get());
                }
            }
        }
        if (requestEntries.isEmpty()) {
            throw ResultException.of(ResultCode.UNKNOWN_REQUEST, request);
        }
        return new RequestTimeline(request, unreadable, merged(requestEntries, stateEntries));
    }

    private static List<Entry> merged(List<Entry> requestEntries, List<Entry> stateEntries) {
        final Instant first =
                requestEntries.stream().map(Entry::time).min(Comparator.naturalOrder()).get();
        final Instant last =
                requestEntries.stream().map(Entry::time).max(Comparator.naturalOrder()).get();
        final List<Entry> mergedEntries = new ArrayList<>(requestEntries);
        for (final Entry stateEntry : stateEntries) {
            final boolean fromSameSource =
                    requestEntries.stream()
                            .anyMatch(entry -> entry.source().equals(stateEntry.source()));
            if (fromSameSource
                    && !stateEntry.time().isBefore(first.minus(STATE_EVENT_WINDOW))
                    && !stateEntry.time().isAfter(last)) {
                mergedEntries.add(stateEntry);
            }
        }
        mergedEntries.sort(Comparator.comparing(Entry::time));
        return mergedEntries;
    }

    private static List<String> linesOf(Path file) {
        final List<String> lines = new ArrayList<>();
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Files.newInputStream(file),
                                StandardCharsets.UTF_8
                                        .newDecoder()
                                        .onMalformedInput(CodingErrorAction.REPLACE)
                                        .onUnmappableCharacter(CodingErrorAction.REPLACE)))) {
            String line = reader.readLine();
            while (line != null) {
                lines.add(line);
                line = reader.readLine();
            }
        } catch (IOException failure) {
            throw ResultException.of(ResultCode.SETTINGS_UNREADABLE, file, failure);
        }
        return lines;
    }

    /**
     * Represents one line of the timeline.
     *
     * @param time time at which the line was written
     * @param source name of the process in the file; empty if the file does not name it
     * @param line the line without its time
     */
    record Entry(Instant time, String source, String line) {
        private static Optional<Entry> of(LogLine line) {
            try {
                final Instant time = OffsetDateTime.parse(line.field("time")).toInstant();
                final int event = line.text().indexOf("event=");
                return Optional.of(new Entry(time, line.source(), line.text().substring(event)));
            } catch (DateTimeParseException malformed) {
                return Optional.empty();
            }
        }
    }
}
