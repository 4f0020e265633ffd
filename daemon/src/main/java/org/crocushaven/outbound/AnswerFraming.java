package org.crocushaven.outbound;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The rules, beyond those of the library, by which a head must state where its answer begins and
 * ends. Each check throws {@link IllegalArgumentException} if the head breaks one.
 */
final class AnswerFraming {
    /** The statuses with a meaning, RFC 9110, 15. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

    private static final String VERSION_BEGINNING = "HTTP/1.";

    /** Status line of another answer, which begins where the rest of this head is missing. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]\\s+[0-9][0-9][0-9]");

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;

    private AnswerFraming() {}

    /** Returns whether a text is a status. */
    static boolean isStatus(String text) {
        return STATUS.matcher(text).matches();
    }

    /** Checks the parts of a status line. */
    static void checkStatusLine(String version, String status, String reason) {
        if (!version.equals(HttpVersion.HTTP_1_1.text())
                && !version.equals(HttpVersion.HTTP_1_0.text())) {
            throw new IllegalArgumentException("answer does not begin with its version");
        }
        if (!isStatus(status)) {
            throw new IllegalArgumentException("answer without a status from 100 to 599");
        }
        checkOneHead(reason);
    }

    /** Checks that only blanks stand between a header's name and its colon. */
    static void checkColon(byte[] line, int nameEnd) {
        int position = nameEnd;
        while (position < line.length && (line[position] == ' ' || line[position] == '\t')) {
            position++;
        }
        if (position == line.length || line[position] != ':') {
            throw new IllegalArgumentException("header without colon");
        }
    }

    /**
     * Checks a complete head.
     *
     * @param lengthLines number of its lines that state a length
     */
    static void checkHead(HttpMessage message, int lengthLines) {
        for (final Map.Entry<String, String> header : message.headers()) {
            checkOneHead(header.getValue());
        }
        if (lengthLines > 1) {
            throw new IllegalArgumentException("answer with several lengths");
        }
        checkTransferEncoding(message);
        if (message instanceof HttpResponse response) {
            checkWithoutBody(response);
        }
    }

    private static void checkOneHead(String text) {
        if (text.contains(VERSION_BEGINNING) && STATUS_LINE.matcher(text).find()) {
            throw new IllegalArgumentException("head of another answer within the head");
        }
    }

    private static void checkTransferEncoding(HttpMessage message) {
        final List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.isEmpty()) {
            return;
        }
        final boolean chunked =
                encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        if (!chunked || !message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            throw new IllegalArgumentException("answer with unknown Transfer-Encoding");
        }
    }

    /** Checks that an answer that has no body does not announce one. */
    private static void checkWithoutBody(HttpResponse response) {
        final int status = response.status().code();
        final boolean informational =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (status == SWITCHING_PROTOCOLS) {
            throw new IllegalArgumentException("answer changes the protocol");
        }
        if ((informational || status == NO_CONTENT) && announcesBody(response.headers())) {
            throw new IllegalArgumentException("body where the status allows none");
        }
    }

    private static boolean announcesBody(HttpHeaders headers) {
        final String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                || length != null && Long.parseLong(length.trim()) != 0;
    }
}
