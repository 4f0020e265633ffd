package org.crocushaven.settings;

import java.nio.file.Path;
import org.crocushaven.configuration.check.CheckEngine;
import org.crocushaven.configuration.check.SettingsFile;
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
        return parse(file.toString(), SettingsFile.read(file));
    }

    /**
     * Reads settings from a text.
     *
     * @throws ResultException with {@code SETTINGS_INVALID} and all faults, one a line
     */
    public static DaemonSettings parse(String file, String text) {
        return SettingsReader.read(SettingsFile.parse(ENGINE, file, text));
    }
}
