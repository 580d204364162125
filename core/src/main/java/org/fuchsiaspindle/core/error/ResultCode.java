package org.fuchsiaspindle.core.error;

import java.util.Locale;

/**
 * Numbered codes of all refusals and failures.
 *
 * <p>The first digit names the area: 1 request, 2 limits, 3 targets, 4 platform, 5 jobs, 6
 * configuration, 7 placement, 8 settings, 9 internal. Numbers are never reused. The table in {@code
 * docs/result-codes.md} is generated from this enum.
 */
public enum ResultCode {
    MALFORMED_REQUEST(
            1001, 400, Executed.NO, "The request is not valid JSON or lacks a required field."),
    INVALID_KEY(1002, 401, Executed.NO, "The bearer key is missing or unknown."),
    NOT_ALLOWED(1003, 403, Executed.NO, "The contract does not allow this model or service."),
    NOT_FOUND(1004, 404, Executed.NO, "No such resource for this customer."),
    METHOD_NOT_ALLOWED(1005, 405, Executed.NO, "The path does not support this method."),
    BODY_TOO_LARGE(1006, 413, Executed.NO, "The body is larger than the limit."),
    HEADERS_TOO_LARGE(1007, 431, Executed.NO, "The headers are larger than the limit."),
    REQUEST_TIMEOUT(1008, 408, Executed.NO, "The request was not received in time."),
    UNSUPPORTED_PARAMETER(1009, 400, Executed.NO, "A parameter has an unsupported value."),
    UNKNOWN_MODEL(1010, 404, Executed.NO, "No such model or service."),
    IDEMPOTENCY_CONFLICT(
            1011,
            409,
            Executed.NO,
            "The idempotency key was used for a request with different content."),
    IDEMPOTENCY_IN_PROGRESS(
            1012,
            409,
            Executed.UNKNOWN,
            "The first request with this idempotency key is still running."),
    IDEMPOTENCY_OUTCOME_UNKNOWN(
            1013,
            409,
            Executed.UNKNOWN,
            "The outcome of the first request with this idempotency key is unknown."),

    RATE_LIMITED(2001, 429, Executed.NO, "The customer has exceeded its request rate limit."),
    CONCURRENCY_LIMITED(2002, 429, Executed.NO, "The customer has too many concurrent requests."),
    JOB_LIMITED(2003, 429, Executed.NO, "The customer has too many open jobs or items."),
    LIMIT_UNDECIDED(
            2004, 503, Executed.NO, "No process could tell whether the rate limit is exceeded."),

    OVERLOADED(3001, 503, Executed.NO, "No target can start the request in time."),
    NO_TARGET(3002, 503, Executed.NO, "No target of the model or service is available."),
    TARGET_LEAVING(3003, 503, Executed.NO, "The target accepts no new requests."),
    TARGET_LOST(3004, 502, Executed.UNKNOWN, "The target was lost while the request ran."),
    TARGET_FAILED(3005, 502, Executed.YES, "The target returned an error."),
    DEADLINE_EXCEEDED(3006, 504, Executed.UNKNOWN, "The deadline passed while the request ran."),
    DEADLINE_UNREACHABLE(3007, 503, Executed.NO, "The request cannot finish by its deadline."),
    CANCELLED(3008, 499, Executed.UNKNOWN, "The caller cancelled the request."),
    DRAINING(3009, 503, Executed.NO, "This process is shutting down."),
    STREAM_INTERRUPTED(3010, 502, Executed.UNKNOWN, "The stream ended before its last token."),

    PROMPT_QUARANTINED(
            3011, 503, Executed.NO, "A part of the prompt crashes the targets of the service."),
    REQUEST_TOO_LARGE(
            3012, 413, Executed.NO, "The request needs more memory than a target has in all."),

    TABLE_UNAVAILABLE(4001, 503, Executed.NO, "The table service is not available."),
    OBJECT_STORE_UNAVAILABLE(4002, 503, Executed.NO, "The object store is not available."),
    WRITE_OUTCOME_UNKNOWN(
            4003,
            503,
            Executed.UNKNOWN,
            "The response to a write was lost, so its outcome is unknown."),
    CONDITION_FAILED(
            4004,
            409,
            Executed.NO,
            "A conditional write failed because another writer changed the row."),
    INSTANCE_LIST_UNAVAILABLE(4005, 503, Executed.NO, "The instance list is not available."),
    OBJECT_CONFLICT(
            4006,
            409,
            Executed.NO,
            "An object of this name with different content already exists."),

    JOB_CONFLICT(5001, 409, Executed.NO, "The idempotency key belongs to another job."),
    JOB_FINISHED(5002, 409, Executed.NO, "The job has already ended."),
    INVALID_ITEM(5003, 400, Executed.NO, "A line of the input file is not a valid item."),
    FILE_TOO_LARGE(5004, 413, Executed.NO, "The file has too many lines or bytes."),
    DEADLINE_NOT_FEASIBLE(5005, 422, Executed.NO, "The job cannot be finished by its deadline."),
    ITEM_ATTEMPTS_EXHAUSTED(5006, 500, Executed.UNKNOWN, "The item failed on every attempt."),
    ITEM_EXPIRED(5007, 504, Executed.NO, "The job's deadline passed before the item ran."),
    ITEM_CANCELLED(5008, 499, Executed.NO, "The job was cancelled before the item ran."),
    ITEM_REJECTED(5009, 400, Executed.YES, "The target rejected the item."),
    LEASE_LOST(5010, 409, Executed.UNKNOWN, "Another process holds the lease of the segment."),

    CONFIG_CONFLICT(6001, 409, Executed.NO, "The change is not based on the latest version."),
    INVALID_DOCUMENT(6002, 422, Executed.NO, "The document has invalid fields."),
    CHANGE_ID_REUSED(6003, 409, Executed.NO, "The change identifier belongs to another change."),
    CONFIG_NOT_IN_FORCE(6004, 504, Executed.YES, "Not every process applied the change in time."),

    STALE_FENCING_NUMBER(7001, 409, Executed.NO, "The order carries an old fencing number."),
    ORDER_REFUSED(7002, 409, Executed.NO, "The target refused the order."),
    LAST_COPY(7003, 409, Executed.NO, "The order would remove the last ready copy."),
    FENCE_UNKNOWN(7004, 503, Executed.NO, "The agent cannot read the current fencing number."),

    INVALID_SETTING(8001, 0, Executed.NO, "A flag or environment variable is not valid."),
    ADDRESS_IN_USE(8002, 0, Executed.NO, "A listening address cannot be bound."),
    STARTUP_TABLE_UNREACHABLE(
            8003, 0, Executed.NO, "Neither the table service nor a peer responds at start-up."),
    STARTUP_TARGET_UNREACHABLE(8004, 0, Executed.NO, "The target does not respond at start-up."),

    INTERNAL(
            9001,
            500,
            Executed.UNKNOWN,
            "An unexpected error occurred; the log contains the details."),
    PROTOCOL_MISMATCH(9002, 0, Executed.NO, "No common version of the fleet protocol."),
    AUTHENTICATION_FAILED(
            9003, 0, Executed.NO, "The peer failed to prove that it knows the fleet secret."),
    CONNECTION_CLOSED(9004, 0, Executed.UNKNOWN, "A connection to another process was closed."),
    FRAME_TOO_LARGE(9005, 0, Executed.NO, "A message is larger than the limit.");

    private final int number;
    private final int httpStatus;
    private final Executed executed;
    private final String description;

    ResultCode(int number, int httpStatus, Executed executed, String description) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.executed = executed;
        this.description = description;
    }

    /** Returns the number, unique and stable. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of a refusal with this code, or 0 if it never reaches a caller. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request ran, as the default for refusals that do not state it. */
    public Executed executed() {
        return executed;
    }

    /** Returns a human-readable description, one sentence. */
    public String description() {
        return description;
    }

    /** Returns the lower-case name that is used in error objects. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the code with a number.
     *
     * @param number a code number, for example from a message of another process
     * @return the code, or {@link #INTERNAL} if the number is unknown because a newer process sent
     *     it
     */
    public static ResultCode ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return code;
            }
        }
        return INTERNAL;
    }
}
