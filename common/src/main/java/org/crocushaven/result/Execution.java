package org.crocushaven.result;

/** States whether a backend server executed a refused or failed request. */
public enum Execution {
    /** No byte of the request was sent to a backend server. */
    NOT_RUN("not-run"),
    /** The backend server executed the request. */
    RAN("ran"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    private final String headerValue;

    Execution(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the {@code Crocushaven-Execution} response header. */
    public String headerValue() {
        return headerValue;
    }
}
