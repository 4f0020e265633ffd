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
 * The lines of saved logs that tell what became of a request: its own, and those by which the same
 * processes changed what they believed shortly before.
 *
 * @param request the request
 * @param unreadable lines that no process of this system wrote, or that were cut short
 * @param entries the lines in order of time
 */
record LogStory(String request, long unreadable, List<Entry> entries) {
    /** Events by which a process changes what it believes. */
    private static final Set<String> BELIEFS =
            Set.of(
                    "leader-lost",
                    "leader-found",
                    "ready",
                    "not-ready",
                    "configuration-applied",
                    "suspension-suspected",
                    "started",
                    "stopping");

    private static final Duration BEFORE = Duration.ofSeconds(5);

    LogStory {
        entries = List.copyOf(entries);
    }

    /**
     * Reads the story of a request.
     *
     * @throws ResultException with {@code SETTINGS_UNREADABLE} when a file cannot be read, with
     *     {@code UNKNOWN_REQUEST} when no line names the request
     */
    static LogStory read(List<Path> files, String request) {
        final List<Entry> own = new ArrayList<>();
        final List<Entry> beliefs = new ArrayList<>();
        long unreadable = 0;
        for (final Path file : files) {
            for (final String line : linesOf(file)) {
                final Optional<LogLine> parsed = LogLine.parse(line);
                final Optional<Entry> entry = parsed.flatMap(Entry::of);
                if (entry.isEmpty()) {
                    unreadable += line.isBlank() ? 0 : 1;
                } else if (parsed.get().field("request").equals(request)) {
                    own.add(entry.get());
                } else if (BELIEFS.contains(parsed.get().field("event"))) {
                    beliefs.add(entry.get());
                }
            }
        }
        if (own.isEmpty()) {
            throw ResultException.of(ResultCode.UNKNOWN_REQUEST, request);
        }
        return new LogStory(request, unreadable, joined(own, beliefs));
    }

    private static List<Entry> joined(List<Entry> own, List<Entry> beliefs) {
        final Instant first = own.stream().map(Entry::time).min(Comparator.naturalOrder()).get();
        final Instant last = own.stream().map(Entry::time).max(Comparator.naturalOrder()).get();
        final List<Entry> all = new ArrayList<>(own);
        for (final Entry belief : beliefs) {
            final boolean concerns =
                    own.stream().anyMatch(entry -> entry.source().equals(belief.source()));
            if (concerns
                    && !belief.time().isBefore(first.minus(BEFORE))
                    && !belief.time().isAfter(last)) {
                all.add(belief);
            }
        }
        all.sort(Comparator.comparing(Entry::time));
        return all;
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
     * One line of the story.
     *
     * @param time when it was written
     * @param source the process, as the file names it; empty when it does not
     * @param line the line without its time
     */
    record Entry(Instant time, String source, String line) {
        private static Optional<Entry> of(LogLine line) {
            try {
                final Instant time = OffsetDateTime.parse(line.field("time")).toInstant();
                final int event = line.text().indexOf("event=");
                return Optional.of(new Entry(time, line.source(), line.text().substring(event)));
            } catch (DateTimeParseException cutShort) {
                return Optional.empty();
            }
        }
    }
}
