package org.fuchsiaspindle.daemon.agent;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Records the latest attempt of recent requests, so that a delayed message runs no request twice.
 */
final class AttemptLog {

    private static final int MAX_REQUESTS = 8_192;

    private final Map<String, Integer> attempts =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                    return size() > MAX_REQUESTS;
                }
            };

    /**
     * Checks that an attempt is newer than all recorded attempts of the request.
     *
     * @throws FuchsiaspindleException with {@code TARGET_LOST} and unknown execution if it is not
     */
    void check(String requestId, int attempt) {
        Integer latest = attempts.get(requestId);
        if (latest != null && attempt <= latest) {
            throw new FuchsiaspindleException(
                    ResultCode.TARGET_LOST,
                    "attempt " + attempt + " arrived after attempt " + latest);
        }
    }

    /** Records an attempt that may run. */
    void record(String requestId, int attempt) {
        attempts.put(requestId, attempt);
    }
}
