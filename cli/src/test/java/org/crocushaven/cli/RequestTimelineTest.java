package org.crocushaven.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.crocushaven.result.ResultCode;
import org.crocushaven.result.ResultException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RequestTimelineTest {
    @TempDir private Path folder;

    private List<Path> savedLog() throws IOException {
        final Path copy = folder.resolve("saved.log");
        try (InputStream log = RequestTimelineTest.class.getResourceAsStream("saved.log")) {
            Files.write(copy, log.readAllBytes());
        }
        return List.of(copy);
    }

    @Test
    void containsLinesOfTheRequestAndStateChangesOfItsProcess() throws IOException {
        final RequestTimeline timeline = RequestTimeline.read(savedLog(), "ab");

        assertEquals(
                List.of(
                        "event=leader-lost leader=c1",
                        "event=attempt-failed request=ab reason=\"no connection\"",
                        "event=request-ended request=ab code=1403 reason=\"No dispatcher = none\""),
                timeline.entries().stream().map(RequestTimeline.Entry::line).toList());
        assertEquals("gateway-1", timeline.entries().get(0).source());
    }

    @Test
    void countsUnreadableLines() throws IOException {
        assertEquals(2, RequestTimeline.read(savedLog(), "ab").unreadable());
    }

    @Test
    void refusesUnknownRequests() {
        assertEquals(
                ResultCode.UNKNOWN_REQUEST,
                assertThrows(ResultException.class, () -> RequestTimeline.read(savedLog(), "zz"))
                        .code());
    }

    @Test
    void refusesAbsentFiles() {
        final ResultException refusal =
                assertThrows(
                        ResultException.class,
                        () -> RequestTimeline.read(List.of(folder.resolve("none.log")), "ab"));
        assertEquals(ResultCode.SETTINGS_UNREADABLE, refusal.code());
    }
}
