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

class LogStoryTest {
    @TempDir private Path folder;

    private List<Path> saved() throws IOException {
        final Path copy = folder.resolve("story.log");
        try (InputStream story = LogStoryTest.class.getResourceAsStream("story.log")) {
            Files.write(copy, story.readAllBytes());
        }
        return List.of(copy);
    }

    @Test
    void itTellsTheRequestsLinesAndWhatItsProcessBelieved() throws IOException {
        final LogStory story = LogStory.read(saved(), "ab");

        assertEquals(
                List.of(
                        "event=leader-lost leader=c1",
                        "event=attempt-failed request=ab reason=\"no connection\"",
                        "event=request-ended request=ab code=1403 reason=\"No dispatcher = none\""),
                story.entries().stream().map(LogStory.Entry::line).toList());
        assertEquals("gateway-1", story.entries().get(0).source());
    }

    @Test
    void linesThatCannotBeReadAreCounted() throws IOException {
        assertEquals(2, LogStory.read(saved(), "ab").unreadable());
    }

    @Test
    void anUnknownRequestIsSaidToBeUnknown() {
        assertEquals(
                ResultCode.UNKNOWN_REQUEST,
                assertThrows(ResultException.class, () -> LogStory.read(saved(), "zz")).code());
    }

    @Test
    void anAbsentFileIsNamed() {
        final ResultException refusal =
                assertThrows(
                        ResultException.class,
                        () -> LogStory.read(List.of(folder.resolve("none.log")), "ab"));
        assertEquals(ResultCode.SETTINGS_UNREADABLE, refusal.code());
    }
}
