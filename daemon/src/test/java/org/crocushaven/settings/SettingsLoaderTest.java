package org.crocushaven.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsLoaderTest {
    private static String resource(String name) throws IOException {
        try (InputStream input = SettingsLoaderTest.class.getResourceAsStream(name)) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static ResultException refusal(String text) {
        return assertThrows(
                ResultException.class, () -> SettingsLoader.parse("settings.toml", text));
    }

    @Nested
    class ValidFile {
        @Test
        void suppliesItsValuesAndDefaults() throws IOException {
            final DaemonSettings settings =
                    SettingsLoader.parse("valid.toml", resource("valid.toml"));

            assertEquals("a1", settings.instance());
            assertEquals(List.of("127.0.0.1:7013", "[::1]:7023"), settings.seeds());
            assertEquals(Optional.of(Path.of("run/a1")), settings.dataFolder());
            assertEquals(7002, settings.announcementPort());
            assertEquals(CallerLimits.defaults(), settings.limits());
            assertEquals(new LoadBudgetSettings(4.5, 2, 8), settings.loadBudget());
            assertEquals(PolicyWeights.equal(), settings.weights());
        }
    }

    @Nested
    class InvalidFile {
        @Test
        void isRefusedWithEveryFaultAtOnce() throws IOException {
            final ResultException refusal = refusal(resource("invalid.toml"));

            assertEquals(ResultCode.SETTINGS_INVALID, refusal.code());
            Approvals.verify(refusal.getMessage());
        }

        @Test
        void withoutContentNamesEveryRequiredKey() {
            final String message = refusal("").getMessage();

            assertEquals(7, message.lines().filter(line -> line.contains("missing;")).count());
        }

        @Test
        void withBadSyntaxNamesTheLine() {
            final String message = refusal("instance = \"a1\"\nhost = = 1\n").getMessage();

            assertTrue(message.contains("settings.toml:2: not valid TOML"), message);
        }

        @Test
        void withOneKeyTwiceIsRefused() {
            final String message = refusal("host = \"::1\"\nhost = \"::1\"\n").getMessage();

            assertTrue(message.contains("settings.toml:2: not valid TOML"), message);
        }

        @Test
        void whoseInitialVoterHasNoDataFolderIsRefused() throws IOException {
            final String text = resource("valid.toml").replaceAll("(?m)^data_folder.*$", "");

            final String message = refusal(text).getMessage();

            assertTrue(message.contains(":6: initial_voters: the instance \"a1\""), message);
        }
    }

    @Nested
    class MissingFile {
        @Test
        void isUnreadable() {
            final ResultException refusal =
                    assertThrows(
                            ResultException.class,
                            () -> SettingsLoader.load(Path.of("no-such-file.toml")));

            assertEquals(ResultCode.SETTINGS_UNREADABLE, refusal.code());
        }
    }
}
