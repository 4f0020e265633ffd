package org.crocushaven.forwarding;

import static org.crocushaven.forwarding.KeptConnectionBackend.named;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.crocushaven.ingress.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests a stream in chunks, one of which states a size that is larger than its bytes. */
class OverlongChunkTest {
    private static final String EVENT = "id: 1\ndata: x\n\n";
    private static final String REST = "\r\n0\r\n\r\n";

    // Guards against: the marks of the chunks that follow were passed on as an event, and a stream
    // that another backend server then took up looked complete with it.
    @Test
    void marksOfChunksAreNoEventOfStreamThatLooksComplete() throws Exception {
        try (KeptConnectionBackend backend = KeptConnectionBackend.start()) {
            final ForwardingFixture fixture =
                    ForwardingFixture.withRetries(
                            RouteKind.STREAM, ForwardingFixture.TIMEOUT_MILLIS);
            try {
                fixture.nameRequestsApart();
                fixture.announce("first", backend.port(), 4, "");
                fixture.announce("second", backend.port(), 4, "");
                backend.answerNext(
                        "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n",
                        Integer.toHexString(EVENT.length() + REST.length()) + "\r\n",
                        EVENT + REST + "end");
                backend.answerNext(named("request-1", 200, "", "id: 2\ndata: x\n\n"));

                final String answer = fixture.start().awaitEnd();

                assertTrue(
                        answer.startsWith("aborted")
                                || answer.equals("id: 1\ndata: x;id: 2\ndata: x;"),
                        answer);
            } finally {
                fixture.close();
            }
        }
    }
}
