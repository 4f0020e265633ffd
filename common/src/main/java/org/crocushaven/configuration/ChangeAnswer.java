package org.crocushaven.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.crocushaven.result.ResultCode;

/**
 * The committed answer to a change; sending the change again returns the same answer.
 *
 * @param code number of the result code; 0 when the change was accepted
 * @param revision revision of the configuration right after the change was accepted or refused
 * @param detail human-readable text
 */
public record ChangeAnswer(int code, long revision, String detail) {
    /** Returns the answer with a result code. */
    public static ChangeAnswer of(ResultCode code, long revision, String detail) {
        return new ChangeAnswer(code.number(), revision, detail);
    }

    /** Returns the result code. */
    @JsonIgnore
    public ResultCode resultCode() {
        return ResultCode.fromNumber(code).orElse(ResultCode.INTERNAL);
    }

    /** Returns whether the change was accepted. */
    @JsonIgnore
    public boolean isAccepted() {
        return code == ResultCode.OK.number();
    }
}
