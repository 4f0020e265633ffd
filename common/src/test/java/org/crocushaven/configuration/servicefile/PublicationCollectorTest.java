package org.crocushaven.configuration.servicefile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.crocushaven.configuration.Route;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PublicationCollectorTest {
    private static final Path INPUTS =
            Path.of("src", "test", "resources", "org", "crocushaven", "configuration")
                    .resolve("servicefile");

    private static CollectedPublication collect(String folder) {
        return PublicationCollector.collect("main", List.of(INPUTS.resolve(folder)));
    }

    private static String report(CollectedPublication collected) {
        return collected.violations().stream()
                .map(violation -> violation.toString().replace(INPUTS + "/", "") + "\n")
                .collect(Collectors.joining());
    }

    private static String expected(String folder) throws IOException {
        return Files.readString(INPUTS.resolve(folder).resolve("expected.txt"));
    }

    @Nested
    class Violations {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "unknown-key",
                    "wrong-type",
                    "missing-key",
                    "names",
                    "ranges",
                    "kind",
                    "kind-unknown",
                    "engine-routes",
                    "routes",
                    "versions",
                    "adapter-service",
                    "syntax",
                    "duplicates",
                    "references",
                    "two-files"
                })
        void areReportedWithFileLineAndAllowedValues(String folder) throws IOException {
            final CollectedPublication collected = collect(folder);

            assertEquals(expected(folder), report(collected));
            assertEquals(
                    ResultCode.SERVICE_FILE_INVALID,
                    assertThrows(ResultException.class, collected::orElseThrow).code());
        }

        @Test
        void includeMissingFolders() {
            assertEquals("nowhere:1: there is no such folder\n", report(collect("nowhere")));
        }
    }

    @Nested
    class ValidFiles {
        @Test
        void useDefaultsForMissingKeys() {
            final Route route = collect("valid").orElseThrow().services().get(0).routes().get(0);

            assertEquals(new Route("GET", "/", true, false, 10_000, 1), route);
        }

        @Test
        void areCollectedOnceWhenFoldersOverlap() {
            final CollectedPublication collected =
                    PublicationCollector.collect(
                            "main", List.of(INPUTS.resolve("valid"), INPUTS.resolve("valid")));

            assertEquals(1, collected.files().size());
        }
    }
}
