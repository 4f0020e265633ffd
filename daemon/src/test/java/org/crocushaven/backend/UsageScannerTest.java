package org.crocushaven.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class UsageScannerTest {
    private static final String USAGE =
            "\"usage\": {\"prompt_tokens\":3,\"completion_tokens\":4,\"total_tokens\":7,"
                    + "\"prompt_tokens_details\":{\"cached_tokens\":1}}";

    /** Scans the text in one part and then byte by byte, and checks that both results are equal. */
    private static long scan(String text) {
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        final UsageScanner whole = new UsageScanner();
        whole.scan(bytes);
        final UsageScanner single = new UsageScanner();
        for (final byte next : bytes) {
            single.scan(new byte[] {next});
        }
        assertEquals(whole.usedTokens(), single.usedTokens());
        return whole.usedTokens();
    }

    @Test
    void findsUsageAnywhereInAnswer() {
        assertEquals(7, scan("{" + USAGE + ",\"choices\":[" + "0,".repeat(2_000) + "0]}"));
        assertEquals(7, scan("{\"choices\":[" + "0,".repeat(2_000) + "0]," + USAGE + "}"));
        assertEquals(9, scan("{\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":5}}"));
    }

    @Test
    void returnsLastReportedUsage() {
        assertEquals(
                7, scan("data: {\"usage\":{\"total_tokens\":1}}\n\ndata: {" + USAGE + "}\n\n"));
        assertEquals(7, scan("data: {" + USAGE + "}\n\ndata: {\"usage\":null}\n\n"));
    }

    @Test
    void ignoresTextThatLooksLikeUsage() {
        assertEquals(
                7, scan("{" + USAGE + ",\"content\":\"\\\"usage\\\":{\\\"total_tokens\\\":99}\"}"));
        assertEquals(-1, scan("{\"content\":\"usage\",\"total_tokens\":99}"));
        assertEquals(-1, scan("{\"usage\":[{\"total_tokens\":99}]}"));
        assertEquals(-1, scan("{\"usage\":{\"total_tokens\":\"99\"}}"));
        assertEquals(-1, scan(""));
    }
}
