package org.fuchsiaspindle.daemon.entry.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Identifies a call and its content.
 *
 * @param rowKey key of the row that holds the call's record
 * @param digest digest of the request's content
 * @param timeLimit time that the call may take
 */
public record CallKey(String rowKey, String digest, Duration timeLimit) {

    private static final int MAX_KEY_CHARS = 255;

    /** Validates the components. */
    public CallKey {
        checkNotNull(rowKey, "rowKey");
        checkNotNull(digest, "digest");
        checkNotNull(timeLimit, "timeLimit");
    }

    /**
     * Computes the key of a call.
     *
     * @param customer the customer
     * @param service the service
     * @param idempotencyKey the caller's key
     * @param method HTTP method
     * @param path path and query inside the service
     * @param body the body
     * @param timeLimit time that the call may take
     * @throws FuchsiaspindleException with {@code MALFORMED_REQUEST} if the caller's key is empty
     *     or too long
     */
    public static CallKey of(
            String customer,
            String service,
            String idempotencyKey,
            String method,
            String path,
            byte[] body,
            Duration timeLimit) {
        if (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_KEY_CHARS) {
            throw new FuchsiaspindleException(
                    ResultCode.MALFORMED_REQUEST,
                    "the idempotency key has "
                            + idempotencyKey.length()
                            + " characters; allowed are 1 to "
                            + MAX_KEY_CHARS);
        }
        String row = "idem/" + customer + "/" + newHasher(service, idempotencyKey).hash();
        String digest = newHasher(method, path).putBytes(body).hash().toString();
        return new CallKey(row, digest, timeLimit);
    }

    /**
     * Returns a hasher to which two strings were added with their lengths, so that different pairs
     * never give the same input.
     */
    private static Hasher newHasher(String first, String second) {
        return Hashing.sha256()
                .newHasher()
                .putInt(first.length())
                .putString(first, StandardCharsets.UTF_8)
                .putInt(second.length())
                .putString(second, StandardCharsets.UTF_8);
    }
}
