package org.crocushaven.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.crocushaven.configuration.check.CheckEngine;
import org.crocushaven.configuration.check.TomlDocument;
import org.crocushaven.configuration.check.Violation;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/**
 * Loads the daemon's settings from a TOML file; the error for an invalid file lists all its faults.
 */
public final class SettingsLoader {
    private static final CheckEngine ENGINE = CheckEngine.of(SettingsChecks.all());

    private SettingsLoader() {}

    /**
     * Loads a file.
     *
     * @throws ResultException with {@code SETTINGS_UNREADABLE} when the file cannot be read as
     *     UTF-8, with {@code SETTINGS_INVALID} and all faults when its content is refused
     */
    public static DaemonSettings load(Path file) {
        final String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw ResultException.of(ResultCode.SETTINGS_UNREADABLE, file, failure);
        }
        return parse(file.toString(), text);
    }

    /**
     * Reads settings from a text.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} and all faults, one a line
     */
    public static DaemonSettings parse(String file, String text) {
        final TomlDocument document = TomlDocument.parse(file, text);
        final List<Violation> violations = ENGINE.run(document);
        if (!violations.isEmpty()) {
            throw ResultException.of(ResultCode.SETTINGS_INVALID, lines(violations));
        }
        return SettingsReader.read(document.root());
    }

    private static String lines(List<Violation> violations) {
        return violations.stream()
                .map(violation -> "\n  " + violation)
                .collect(Collectors.joining());
    }
}
