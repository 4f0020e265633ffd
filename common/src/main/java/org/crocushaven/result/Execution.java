package org.crocushaven.result;

/** States whether a backend server executed a refused or failed request. */
public enum Execution {
    /**
     * No backend server executed the request: no byte of it was sent to one, or the backend server
     * refused it before executing it.
     */
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
