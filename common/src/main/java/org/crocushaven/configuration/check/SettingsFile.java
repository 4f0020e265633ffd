package org.crocushaven.configuration.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;

/** Reads settings files and refuses their content with all the faults that the checks find. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Returns the text of a file.
     *
     * @throws ResultException with {@code SETTINGS_UNREADABLE} when the file cannot be read as
     *     UTF-8
     */
    public static String read(Path file) {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw ResultException.of(ResultCode.SETTINGS_UNREADABLE, file, failure);
        }
    }

    /**
     * Returns the root of the document in a text.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} and all faults, one a line
     */
    public static TomlNode parse(CheckEngine engine, String file, String text) {
        final TomlDocument document = TomlDocument.parse(file, text);
        final List<Violation> violations = engine.run(document);
        if (!violations.isEmpty()) {
            throw ResultException.of(ResultCode.SETTINGS_INVALID, lines(violations));
        }
        return document.root();
    }

    private static String lines(List<Violation> violations) {
        return violations.stream()
                .map(violation -> "\n  " + violation)
                .collect(Collectors.joining());
    }
}
