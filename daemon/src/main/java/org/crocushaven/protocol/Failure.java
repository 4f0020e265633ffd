package org.crocushaven.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Reports that a request failed.
 *
 * @param code number of the {@link org.crocushaven.result.ResultCode}
 * @param execution name of the {@link org.crocushaven.result.Execution} of the request
 * @param detail human-readable description
 * @param retryAfterMillis delay before a retry, in milliseconds; -1 if unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Failure(int code, String execution, String detail, long retryAfterMillis)
        implements Message {}
