package org.crocushaven.result;

import static org.crocushaven.result.Execution.NOT_RUN;
import static org.crocushaven.result.Execution.RAN;
import static org.crocushaven.result.Execution.UNKNOWN;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Every numbered outcome that crocushaven reports to callers, operators, backend servers and peers.
 *
 * <p>Numbers are stable: a number is never reused for another meaning. The hundreds group the codes
 * by concern. {@code docs/RESULT-CODES.md} is generated from this enumeration.
 */
public enum ResultCode {
    OK(0, 200, RAN, Retry.NEVER),

    MALFORMED_REQUEST(1001, 400, NOT_RUN, Retry.NEVER),
    BODY_TOO_LARGE(1002, 413, NOT_RUN, Retry.NEVER),
    HEADERS_TOO_LARGE(1003, 431, NOT_RUN, Retry.NEVER),
    CONFLICTING_HEADERS(1004, 400, NOT_RUN, Retry.NEVER),
    UNKNOWN_ROUTE(1005, 404, NOT_RUN, Retry.NEVER),
    METHOD_NOT_ALLOWED(1006, 405, NOT_RUN, Retry.NEVER),
    UNSUPPORTED_MEDIA_TYPE(1007, 415, NOT_RUN, Retry.NEVER),
    REQUEST_TIMEOUT(1008, 408, NOT_RUN, Retry.LATER),
    TOO_MANY_CONNECTIONS(1009, 503, NOT_RUN, Retry.LATER),
    CALLER_CANCELLED(1010, 499, UNKNOWN, Retry.NEVER),
    SLOW_READER(1011, 408, RAN, Retry.NEVER),

    KEY_MISSING(1101, 401, NOT_RUN, Retry.NEVER),
    KEY_AMBIGUOUS(1102, 400, NOT_RUN, Retry.NEVER),
    KEY_UNKNOWN(1103, 401, NOT_RUN, Retry.NEVER),
    KEY_WITHDRAWN(1104, 401, NOT_RUN, Retry.NEVER),
    NOT_PERMITTED(1105, 403, NOT_RUN, Retry.NEVER),
    CONTROL_STATE_STALE(1106, 503, NOT_RUN, Retry.LATER),
    KEY_WITHDRAWN_DURING_REQUEST(1107, 401, UNKNOWN, Retry.NEVER),

    UNKNOWN_SERVICE(1201, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_MODEL(1202, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_ADAPTER(1203, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_VERSION(1204, 404, NOT_RUN, Retry.NEVER),
    NO_ALLOWED_REGION(1205, 403, NOT_RUN, Retry.NEVER),

    RATE_EXCEEDED(1301, 429, NOT_RUN, Retry.LATER),
    REQUEST_EXCEEDS_BURST(1302, 413, NOT_RUN, Retry.NEVER),
    QUEUE_FULL(1303, 503, NOT_RUN, Retry.LATER),
    DEADLINE_UNREACHABLE(1304, 503, NOT_RUN, Retry.LATER),
    DEADLINE_PASSED(1305, 504, NOT_RUN, Retry.LATER),
    SHARE_UNAVAILABLE(1306, 503, NOT_RUN, Retry.LATER),

    NO_BACKEND_SERVER(1401, 503, NOT_RUN, Retry.LATER),
    ADAPTER_LOAD_FAILED(1402, 503, NOT_RUN, Retry.LATER),
    NO_DISPATCHER(1403, 503, NOT_RUN, Retry.LATER),
    BACKEND_SERVER_REFUSED(1404, 503, NOT_RUN, Retry.LATER),
    BACKEND_SERVER_FAILED(1405, 502, UNKNOWN, Retry.LATER),
    BACKEND_SERVER_TIMEOUT(1406, 504, UNKNOWN, Retry.LATER),
    WRONG_ADAPTER_ANSWERED(1407, 502, UNKNOWN, Retry.LATER),
    ANSWER_INCOMPLETE(1408, 502, RAN, Retry.NEVER),
    PERMIT_STALE(1409, 503, NOT_RUN, Retry.LATER),
    NOT_DISPATCHER(1410, 503, NOT_RUN, Retry.LATER),
    SOFTWARE_VERSION_UNKNOWN(1411, 503, NOT_RUN, Retry.LATER),
    REQUEST_CONDEMNED(1412, 503, NOT_RUN, Retry.LATER),
    RELAY_REFUSED(1413, 503, NOT_RUN, Retry.LATER),

    CLAIM_IN_FLIGHT(1501, 409, NOT_RUN, Retry.LATER),
    CLAIM_OUTCOME_UNKNOWN(1502, 409, UNKNOWN, Retry.NEVER),
    CLAIM_CONTENT_DIFFERS(1503, 422, NOT_RUN, Retry.NEVER),
    CLAIM_UNAVAILABLE(1504, 503, NOT_RUN, Retry.LATER),
    IDEMPOTENCY_KEY_INVALID(1505, 400, NOT_RUN, Retry.NEVER),

    STOPPING(1601, 503, NOT_RUN, Retry.LATER),
    NOT_READY(1602, 503, NOT_RUN, Retry.LATER),
    STOPPED_DURING_REQUEST(1603, 504, UNKNOWN, Retry.LATER),

    OPERATOR_KEY_REJECTED(2001, 401, NOT_RUN, Retry.NEVER),
    CHANGE_INVALID(2002, 422, NOT_RUN, Retry.NEVER),
    CHANGE_NUMBER_REUSED(2003, 409, NOT_RUN, Retry.NEVER),
    CHANGE_CONFLICT(2004, 409, NOT_RUN, Retry.NEVER),
    CHANGE_OUTCOME_UNKNOWN(2005, 504, UNKNOWN, Retry.LATER),
    KEY_ALREADY_GRANTED(2006, 409, NOT_RUN, Retry.NEVER),
    UNKNOWN_KEY(2007, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_ORGANISATION(2008, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_BACKEND_SERVER(2009, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_INSTANCE(2010, 404, NOT_RUN, Retry.NEVER),
    UNKNOWN_REQUEST(2011, 404, NOT_RUN, Retry.NEVER),
    OPERATOR_UNREACHABLE(2012, 503, NOT_RUN, Retry.LATER),
    COMMAND_LINE_INVALID(2013, 400, NOT_RUN, Retry.NEVER),
    CHANGE_NUMBER_FORGOTTEN(2014, 409, NOT_RUN, Retry.NEVER),
    KEY_IDENTIFIER_AMBIGUOUS(2015, 409, NOT_RUN, Retry.NEVER),
    EVACUATION_OVERTAKEN(2016, 503, NOT_RUN, Retry.LATER),
    UNKNOWN_FAILURE_DOMAIN(2017, 404, NOT_RUN, Retry.NEVER),

    NOT_LEADER(3001, 503, NOT_RUN, Retry.LATER),
    NO_QUORUM(3002, 503, NOT_RUN, Retry.LATER),
    PROPOSAL_OUTCOME_UNKNOWN(3003, 504, UNKNOWN, Retry.LATER),
    VOTER_CHANGE_IN_PROGRESS(3004, 409, NOT_RUN, Retry.LATER),
    VOTER_CHANGE_INVALID(3005, 422, NOT_RUN, Retry.NEVER),
    STALE_FENCING_NUMBER(3006, 409, NOT_RUN, Retry.NEVER),
    STALE_TERM(3007, 409, NOT_RUN, Retry.NEVER),
    FOREIGN_INCARNATION(3008, 409, NOT_RUN, Retry.NEVER),
    PEER_UNREACHABLE(3009, 503, UNKNOWN, Retry.LATER),
    PEER_TIMEOUT(3010, 504, UNKNOWN, Retry.LATER),
    SESSION_EXPIRED(3011, 409, NOT_RUN, Retry.LATER),

    FRAME_MALFORMED(3101, 400, NOT_RUN, Retry.NEVER),
    FRAME_TOO_LARGE(3102, 413, NOT_RUN, Retry.NEVER),
    PROTOCOL_VERSION_UNSUPPORTED(3103, 400, NOT_RUN, Retry.NEVER),
    MESSAGE_TYPE_UNKNOWN(3104, 400, NOT_RUN, Retry.NEVER),
    PEER_QUEUE_FULL(3105, 503, NOT_RUN, Retry.LATER),

    SETTINGS_UNREADABLE(4001, 500, NOT_RUN, Retry.NEVER),
    SETTINGS_INVALID(4002, 500, NOT_RUN, Retry.NEVER),
    SERVICE_FILE_INVALID(4003, 422, NOT_RUN, Retry.NEVER),
    DATA_FOLDER_CORRUPT(4101, 500, NOT_RUN, Retry.NEVER),
    DATA_FOLDER_FOREIGN(4102, 500, NOT_RUN, Retry.NEVER),
    DATA_FOLDER_IN_USE(4103, 500, NOT_RUN, Retry.NEVER),
    DATA_FOLDER_IO(4104, 500, NOT_RUN, Retry.NEVER),
    ADDRESS_IN_USE(4201, 500, NOT_RUN, Retry.NEVER),

    ANNOUNCEMENT_INVALID(5001, 400, NOT_RUN, Retry.NEVER),
    ANNOUNCEMENT_STALE(5002, 409, NOT_RUN, Retry.NEVER),
    ANNOUNCEMENT_UNKNOWN_SERVICE(5003, 404, NOT_RUN, Retry.LATER),
    REGISTRATION_REQUIRED(5004, 404, NOT_RUN, Retry.LATER),

    INTERNAL(9001, 500, UNKNOWN, Retry.LATER);

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values())
                    .collect(Collectors.toMap(ResultCode::number, Function.identity()));

    private final int number;
    private final int httpStatus;
    private final Execution execution;
    private final Retry retry;

    ResultCode(int number, int httpStatus, Execution execution, Retry retry) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.execution = execution;
        this.retry = retry;
    }

    /** Returns the code with the given number, or empty when no code has it. */
    public static Optional<ResultCode> fromNumber(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    /** Returns the stable number of this code. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether a request refused with this code was executed, unless the exception overrides
     * it.
     */
    public Execution execution() {
        return execution;
    }

    /** Returns whether the same request may succeed when it is sent again. */
    public Retry retry() {
        return retry;
    }

    /** Returns the process exit status of the command-line tool for this code, 0 to 125. */
    public int exitStatus() {
        return this == OK ? 0 : 10 + number / 1000 * 10 + number / 100 % 10;
    }

    /** States whether sending the same request again may succeed. */
    public enum Retry {
        /** The same request fails again. */
        NEVER,
        /** The same request may succeed later, after the delay stated in the refusal, if any. */
        LATER
    }
}
