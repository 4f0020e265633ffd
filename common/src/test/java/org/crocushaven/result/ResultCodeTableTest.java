package org.crocushaven.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Checks that the page of result codes matches the enumeration. */
class ResultCodeTableTest {
    private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");
    private static final Path GENERATED = Path.of("target", "RESULT-CODES.md");
    private static final String HEAD =
            """
            # Result codes

            Generated from `ResultCode` and held to it by `ResultCodeTableTest`. After a change
            of the codes copy `common/target/RESULT-CODES.md`, which the failing test writes,
            over this page.

            Execution says whether the request ran, unless the answer says otherwise; `not-run`
            and `ran` are certain. Retry says whether the same request can succeed when it is
            sent again; `later` comes with a time where one is known. The exit status is that
            of the command-line tool.

            | Number | Name | HTTP status | Execution | Retry | Exit status | Text |
            | --- | --- | --- | --- | --- | --- | --- |
            """;

    private static String page() {
        final StringBuilder page = new StringBuilder(HEAD);
        for (final ResultCode code : ResultCode.values()) {
            page.append("| ")
                    .append(code.number())
                    .append(" | `")
                    .append(code.name())
                    .append("` | ")
                    .append(code.httpStatus())
                    .append(" | ")
                    .append(code.execution().headerValue())
                    .append(" | ")
                    .append(code.retry().name().toLowerCase(Locale.ROOT))
                    .append(" | ")
                    .append(code.exitStatus())
                    .append(" | ")
                    .append(Messages.template(code).replace("|", "\\|"))
                    .append(" |\n");
        }
        return page.toString();
    }

    @Test
    void pageMatchesTheEnumeration() throws IOException {
        final String page = page();
        Files.writeString(GENERATED, page);

        assertEquals(page, Files.readString(PAGE));
    }
}
