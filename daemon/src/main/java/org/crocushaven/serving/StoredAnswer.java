package org.crocushaven.serving;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;

/**
 * Stored answer of a non-idempotent call.
 *
 * @param status HTTP status
 * @param headers headers by lower-case name
 * @param body the body
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {
    /** Maximum length of the body of a stored answer, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 64 << 10;
}
